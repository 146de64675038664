"""Messages between a proposer of commands and the voters of the log."""

import attrs


@attrs.frozen
class Proposal:
    """Ask a voter to append a command to the log."""

    token: str
    data: bytes


@attrs.frozen
class ProposalAnswer:
    """The result of a proposal, or the error that it failed with.

    Attributes:
        result: the encoded result; empty when the proposal failed.
        error: an error code; ``outcome_unknown`` when the command may
            still be committed.
        leader: a host that is more likely to be the leader, or empty.
    """

    token: str
    result: bytes
    error: str = ''
    leader: str = ''
