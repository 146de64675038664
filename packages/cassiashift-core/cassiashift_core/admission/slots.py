"""Slots of one upstream, shared among entries by its agent.

Entries tell the agent their weight and how many calls they want in
progress; the agent answers with slots. Slots are weighted max-min shares of
the concurrency, and what nobody wants is spread by weight. The slots told
to all entries never exceed the concurrency: an entry's slots grow only as
the others have been told of fewer and use fewer. So a full upstream is
shared by weight, and an entry that keeps to its slots is not refused.
"""

import attrs

FORGET_S = 3.0
SHARES_PERIOD_S = 0.05


@attrs.define
class _User:
    """One entry at the agent."""

    weight: float = 1.0
    wanted: int = 0
    in_flight: int = 0
    told: int = 0
    heard_at: float = 0.0

    @property
    def taken(self) -> int:
        """Return the slots that no other entry may be told of."""
        return max(self.told, self.in_flight)


@attrs.define
class SlotTable:
    """The slots of one upstream.

    Attributes:
        concurrency: calls that the upstream can hold.
    """

    concurrency: int
    _users: dict[str, _User] = attrs.field(factory=dict, init=False)
    _kept_shares: dict[str, int] = attrs.field(factory=dict, init=False)
    _shared_at: float = attrs.field(default=-1e9, init=False)

    @property
    def in_flight(self) -> int:
        """Return the calls in progress of all entries."""
        return sum(user.in_flight for user in self._users.values())

    def update(
        self, entry: str, weight: float, wanted: int, now: float
    ) -> None:
        """Take what an entry said of itself."""
        user = self._users.setdefault(entry, _User())
        user.weight = max(weight, 1e-6)
        user.wanted = wanted
        user.heard_at = now

    def start(self, entry: str) -> bool:
        """Count a call; return False if the upstream is full."""
        if self.in_flight >= self.concurrency:
            return False
        self._users.setdefault(entry, _User()).in_flight += 1
        return True

    def finish(self, entry: str) -> None:
        """Count the end of a call."""
        self._users[entry].in_flight -= 1

    def slots(self, entry: str, now: float) -> int:
        """Return the slots to tell an entry now."""
        self._forget_silent(now)
        user = self._users.setdefault(entry, _User(heard_at=now))
        taken = sum(
            other.taken for name, other in self._users.items() if name != entry
        )
        free = max(0, self.concurrency - taken)
        user.told = min(self._share(entry, now), free)
        return user.told

    def _share(self, entry: str, now: float) -> int:
        """Return the share of an entry, worked out anew now and then."""
        stale = now - self._shared_at >= SHARES_PERIOD_S
        if stale or entry not in self._kept_shares:
            self._kept_shares = self._shares()
            self._shared_at = now
        return self._kept_shares[entry]

    def _shares(self) -> dict[str, int]:
        """Return whole slots for each entry, with the concurrency as sum."""
        shares = dict.fromkeys(self._users, 0.0)
        left = float(self.concurrency)
        open_users = dict(self._users)
        while open_users and left > 1e-9:
            weight = sum(user.weight for user in open_users.values())
            unit = left / weight
            for name, user in list(open_users.items()):
                part = min(unit * user.weight, user.wanted - shares[name])
                shares[name] += max(0.0, part)
                if shares[name] >= user.wanted - 1e-9:
                    del open_users[name]
            left = self.concurrency - sum(shares.values())
        self._spread(shares, left)
        return _rounded(shares, self.concurrency)

    def _spread(self, shares: dict[str, float], left: float) -> None:
        """Add what nobody wants by weight."""
        weight = sum(user.weight for user in self._users.values())
        for name, user in self._users.items():
            shares[name] += max(0.0, left) * user.weight / weight

    def _forget_silent(self, now: float) -> None:
        for name, user in list(self._users.items()):
            if now - user.heard_at <= FORGET_S:
                continue
            user.told = 0
            user.wanted = 0
            if not user.in_flight:
                del self._users[name]


def _rounded(shares: dict[str, float], total: int) -> dict[str, int]:
    """Return whole numbers with the same sum, by largest remainders."""
    whole = {name: int(share) for name, share in shares.items()}
    left = total - sum(whole.values())
    ordered = sorted(
        shares, key=lambda name: (whole[name] - shares[name], name)
    )
    for name in ordered[:left]:
        whole[name] += 1
    return whole
