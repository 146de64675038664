"""Messages by which a restarted agent reads fencing tokens."""

import attrs

from cassiashift_core.fencing import tokens


@attrs.frozen
class FenceQuery:
    """Asks a voter for the highest tokens of upstreams."""

    nonce: int
    upstreams: tuple[str, ...]


@attrs.frozen
class FenceReply:
    """Answers a query with the same nonce.

    Attributes:
        term: the highest term that the voter knows.
        tokens: the highest token in the voter's log for each upstream.
    """

    nonce: int
    term: int
    tokens: dict[str, tokens.Token]
