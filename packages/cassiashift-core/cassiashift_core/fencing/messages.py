"""Messages by which an agent learns fencing tokens again."""

import attrs

from cassiashift_core.fencing import tokens


@attrs.frozen
class FenceQuery:
    """Ask a voter for the tokens of upstreams."""

    nonce: int
    upstreams: tuple[str, ...]


@attrs.frozen
class FenceReply:
    """Answer a query.

    Attributes:
        term: the highest term that the voter knows.
        tokens: the highest token in the voter's log for each upstream.
    """

    nonce: int
    term: int
    tokens: dict[str, tokens.Token]
