"""Fencing tokens."""

import attrs


@attrs.frozen(order=True)
class Token:
    """A fencing token: the leader's term, then the order's log index."""

    term: int = 0
    index: int = 0
