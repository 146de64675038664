"""Subscriptions of children, bounded in number; they expire if not renewed."""

import attrs

SUBSCRIPTION_S = 10.0


@attrs.define
class Children:
    """The hosts to which deltas are pushed."""

    limit: int
    _expiry_s: dict[str, float] = attrs.field(factory=dict)

    def __len__(self) -> int:
        """Return the number of children."""
        return len(self._expiry_s)

    def renew(self, child: str, now: float) -> bool:
        """Add or renew a child; return False if the limit is reached."""
        if child not in self._expiry_s and len(self) >= self.limit:
            self.expire(now)
            if len(self) >= self.limit:
                return False
        self._expiry_s[child] = now + SUBSCRIPTION_S
        return True

    def remove(self, child: str) -> None:
        """Remove a child, which has moved to another parent, if present."""
        self._expiry_s.pop(child, None)

    def expire(self, now: float) -> None:
        """Remove the children that have not renewed for ``SUBSCRIPTION_S``."""
        self._expiry_s = {
            child: expiry_s
            for child, expiry_s in self._expiry_s.items()
            if expiry_s > now
        }

    def hosts(self) -> list[str]:
        """Return the hosts of all children."""
        return list(self._expiry_s)
