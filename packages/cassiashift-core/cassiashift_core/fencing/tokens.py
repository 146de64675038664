"""Fencing tokens and what a voter tells about them."""

import attrs


@attrs.frozen(order=True)
class Token:
    """A fencing token: the leader's term and the index of the order."""

    term: int = 0
    index: int = 0
