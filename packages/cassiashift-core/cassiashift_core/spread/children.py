"""Subscriptions of children, bounded in number and ended by silence."""

import attrs

SUBSCRIPTION_S = 10.0


@attrs.define
class Children:
    """The hosts that get pushes."""

    limit: int
    _expires_s: dict[str, float] = attrs.field(factory=dict)

    def __len__(self) -> int:
        """Return the number of children."""
        return len(self._expires_s)

    def renew(self, child: str, now: float) -> bool:
        """Add or renew a child; return whether there is room."""
        if child not in self._expires_s and len(self) >= self.limit:
            self.expire(now)
            if len(self) >= self.limit:
                return False
        self._expires_s[child] = now + SUBSCRIPTION_S
        return True

    def end(self, child: str) -> None:
        """Drop a child that has moved to another parent."""
        self._expires_s.pop(child, None)

    def expire(self, now: float) -> None:
        """Drop the children that have been silent."""
        self._expires_s = {
            child: expires
            for child, expires in self._expires_s.items()
            if expires > now
        }

    def hosts(self) -> list[str]:
        """Return all children."""
        return list(self._expires_s)
