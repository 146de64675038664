"""Limits that upstreams name: the requests a second from all entries.

Each answer names the limit or none. What an entry's own answers say counts;
other entries adopt it with its revision, so that the newest belief wins.
"""

import math

import attrs

# A limit of nothing would keep every answer away that can end it.
LOWEST_LIMIT_PER_S = 0.05


@attrs.frozen
class Limit:
    """A belief about the limit of one start of an upstream.

    Attributes:
        per_s: requests a second; 0 if it names none.
        revision: number of the belief; a higher one is newer.
    """

    per_s: float = 0.0
    revision: int = 0

    def is_older_than(self, other: 'Limit') -> bool:
        """Return whether another belief replaces this one.

        Of two beliefs of one revision, the stricter one counts.
        """
        if self.revision != other.revision:
            return self.revision < other.revision
        return _strictness(self) < _strictness(other)


@attrs.define
class NamedLimit:
    """The limit of one start of an upstream, as an entry believes it.

    Attributes:
        named_at: time of the newest answer that agreed with it.
    """

    limit: Limit = Limit()
    named_at: float = 0.0

    @property
    def per_s(self) -> float:
        """Return the requests a second; 0 without a limit."""
        return self.limit.per_s

    def record_answer(self, per_s: float, sent_at: float, now: float) -> bool:
        """Record what an answer names; return whether the belief changed.

        An answer to a request that was sent before the newest answer came
        may be older than that one. It makes a limit stricter only.

        Args:
            per_s: the limit; 0 if the answer names none.
            sent_at: time at which its request was sent.
        """
        if per_s == self.per_s:
            self.named_at = now
            return False
        answered = Limit(per_s, self.limit.revision + 1)
        if sent_at <= self.named_at and (
            _strictness(answered) < _strictness(self.limit)
        ):
            return False
        self.limit = answered
        self.named_at = now
        return True

    def apply(self, limit: Limit, now: float) -> bool:
        """Adopt another entry's belief; return whether it is newer."""
        if not self.limit.is_older_than(limit):
            return False
        self.limit = limit
        self.named_at = now
        return True


def parse_limit(text: str) -> float:
    """Return a limit from its header, in requests a second.

    Raises:
        ValueError: it is no finite number of at least 0.
    """
    per_s = float(text)
    if not math.isfinite(per_s) or per_s < 0:
        raise ValueError(f'{text!r} is no number of requests a second')
    return max(per_s, LOWEST_LIMIT_PER_S)


def _strictness(limit: Limit) -> float:
    return 1 / limit.per_s if limit.per_s else 0.0
