"""Messages between the system's own processes."""

import attrs

from cassiashift_core import codec
from cassiashift_core import verdicts

CODEC = codec.Codec()


@attrs.frozen
class UpstreamState:
    """What an agent tells of one upstream."""

    id: str
    url: str
    healthy: bool
    draining: bool
    in_flight: int


@attrs.frozen
class Announce:
    """An agent's announcement of itself and its upstreams.

    Attributes:
        incarnation: larger at each start of the agent.
        link: address at which entries reach the agent.
        revision: revision of the configuration in force at the agent.
    """

    host: str
    data_centre: str
    incarnation: int
    link: str
    revision: int
    upstreams: tuple[UpstreamState, ...]


@attrs.frozen
class EntryState:
    """What an entry tells the other entries of itself."""

    host: str
    data_centre: str
    incarnation: int
    link: str
    http: str
    revision: int
    in_flight: int
    draining: bool


@attrs.frozen
class CallStart:
    """Start one attempt of a request at an upstream.

    Attributes:
        incarnation: the agent's incarnation that the attempt is meant for;
            another incarnation refuses it.
        deadline_s: seconds that the attempt may last.
        idempotent: the exchange may be repeated by the HTTP client.
    """

    request_id: str
    attempt: str
    incarnation: int
    upstream: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline_s: float
    idempotent: bool = True


@attrs.frozen
class CallHead:
    """The status and headers of the upstream's answer."""

    attempt: str
    status: int
    headers: tuple[tuple[str, str], ...]


@attrs.frozen
class CallData:
    """One piece of the answer's body; ``sequence`` counts from 0."""

    attempt: str
    sequence: int
    data: bytes


@attrs.frozen
class CallEnd:
    """The end mark of an answer; ``pieces`` is the number of its pieces."""

    attempt: str
    pieces: int


@attrs.frozen
class CallFailed:
    """The attempt ended without a whole answer."""

    attempt: str
    code: str
    message: str
    verdict: verdicts.Verdict


@attrs.frozen
class CallCredit:
    """Allow the agent to send so many more bytes of the answer."""

    attempt: str
    size: int


@attrs.frozen
class CallCancel:
    """Stop an attempt whose caller is gone."""

    attempt: str


@attrs.frozen
class Fence:
    """Refuse this attempt from now on and tell whether it arrived."""

    attempt: str


@attrs.frozen
class Fenced:
    """The attempt is refused for ever; the verdict tells of its past."""

    attempt: str
    verdict: verdicts.Verdict


@attrs.frozen
class Proposal:
    """Ask a voter to put a command into the log."""

    token: str
    data: bytes


@attrs.frozen
class ProposalAnswer:
    """The result of a proposal, or why there is none.

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


@attrs.frozen
class PullState:
    """Ask for the shared state if it is newer than ``revision``.

    Attributes:
        confirm: only a leader that a quorum follows may answer.
    """

    revision: int
    confirm: bool = False


@attrs.frozen
class SharedState:
    """The shared state as of ``revision``.

    Attributes:
        data: its encoding; empty if the asker has it.
        confirmed: a quorum vouches that no newer one was accepted before
            the question.
    """

    revision: int
    data: bytes
    confirmed: bool = False


@attrs.frozen
class Replication:
    """A message of the log's replication, encoded by its own codec."""

    data: bytes


for _tag, _cls in (
    ('announce', Announce),
    ('entry', EntryState),
    ('start', CallStart),
    ('head', CallHead),
    ('data', CallData),
    ('end', CallEnd),
    ('failed', CallFailed),
    ('credit', CallCredit),
    ('cancel', CallCancel),
    ('fence', Fence),
    ('fenced', Fenced),
    ('propose', Proposal),
    ('proposed', ProposalAnswer),
    ('pull', PullState),
    ('state', SharedState),
    ('raft', Replication),
):
    CODEC.register(_tag, _cls)
