"""Divides the concurrency of one upstream into slots for the entries.

Entries report their weight and how many calls they want in progress to the
upstream's agent, which answers with slots. Slots are weighted max-min shares
of the concurrency; unwanted slots are distributed by weight. The slots
granted to all entries never exceed the concurrency: an entry's slots grow
only after others were granted fewer and use fewer. A full upstream is thus
shared by weight, and an entry that keeps to its slots is not refused.
"""

import attrs

ENTRY_TIMEOUT_S = 3.0
SHARES_PERIOD_S = 0.05


@attrs.define
class _EntryState:
    """The state of one entry at the agent.

    Attributes:
        wanted: calls that the entry wants in progress.
        in_flight: calls of the entry that are in progress.
        granted: slots of the last answer to the entry.
        updated_at: time of the last report, in seconds.
    """

    weight: float = 1.0
    wanted: int = 0
    in_flight: int = 0
    granted: int = 0
    updated_at: float = 0.0

    @property
    def reserved(self) -> int:
        """Return the slots that no other entry may be granted."""
        return max(self.granted, self.in_flight)


@attrs.define
class SlotTable:
    """The slots of one upstream.

    Attributes:
        concurrency: calls that the upstream may have in progress.
    """

    concurrency: int
    _entries: dict[str, _EntryState] = attrs.field(factory=dict, init=False)
    _cached_shares: dict[str, int] = attrs.field(factory=dict, init=False)
    _shares_computed_at: float = attrs.field(default=-1e9, init=False)

    @property
    def in_flight(self) -> int:
        """Return the number of calls in progress of all entries."""
        return sum(state.in_flight for state in self._entries.values())

    def update(
        self, entry: str, weight: float, wanted: int, now: float
    ) -> None:
        """Store the weight and the wanted calls that an entry reported."""
        state = self._entries.setdefault(entry, _EntryState())
        state.weight = max(weight, 1e-6)
        state.wanted = wanted
        state.updated_at = now

    def start(self, entry: str) -> bool:
        """Record the start of a call; return False if the upstream is full."""
        if self.in_flight >= self.concurrency:
            return False
        self._entries.setdefault(entry, _EntryState()).in_flight += 1
        return True

    def finish(self, entry: str) -> None:
        """Record the end of a call."""
        self._entries[entry].in_flight -= 1

    def grant_slots(self, entry: str, now: float) -> int:
        """Grant and return the slots of an entry.

        Entries that have not reported for ``ENTRY_TIMEOUT_S`` lose theirs.
        """
        self._release_silent(now)
        state = self._entries.setdefault(entry, _EntryState(updated_at=now))
        reserved = sum(
            other.reserved
            for name, other in self._entries.items()
            if name != entry
        )
        free = max(0, self.concurrency - reserved)
        state.granted = min(self._share(entry, now), free)
        return state.granted

    def _share(self, entry: str, now: float) -> int:
        """Return an entry's share, recomputed each ``SHARES_PERIOD_S``."""
        stale = now - self._shares_computed_at >= SHARES_PERIOD_S
        if stale or entry not in self._cached_shares:
            self._cached_shares = self._shares()
            self._shares_computed_at = now
        return self._cached_shares[entry]

    def _shares(self) -> dict[str, int]:
        """Return each entry's max-min share in whole slots.

        The shares sum to the concurrency.
        """
        shares = dict.fromkeys(self._entries, 0.0)
        left = float(self.concurrency)
        unsatisfied = dict(self._entries)
        while unsatisfied and left > 1e-9:
            weight = sum(state.weight for state in unsatisfied.values())
            share_per_weight = left / weight
            for name, state in list(unsatisfied.items()):
                extra = min(
                    share_per_weight * state.weight,
                    state.wanted - shares[name],
                )
                shares[name] += max(0.0, extra)
                if shares[name] >= state.wanted - 1e-9:
                    del unsatisfied[name]
            left = self.concurrency - sum(shares.values())
        self._distribute_unwanted(shares, left)
        return _round_shares(shares, self.concurrency)

    def _distribute_unwanted(
        self, shares: dict[str, float], left: float
    ) -> None:
        """Add the slots that no entry wants to all shares, by weight."""
        weight = sum(state.weight for state in self._entries.values())
        for name, state in self._entries.items():
            shares[name] += max(0.0, left) * state.weight / weight

    def _release_silent(self, now: float) -> None:
        for name, state in list(self._entries.items()):
            if now - state.updated_at <= ENTRY_TIMEOUT_S:
                continue
            state.granted = 0
            state.wanted = 0
            if not state.in_flight:
                del self._entries[name]


def _round_shares(shares: dict[str, float], total: int) -> dict[str, int]:
    """Round to whole numbers that sum to ``total`` (largest remainder)."""
    rounded = {name: int(share) for name, share in shares.items()}
    left = total - sum(rounded.values())
    ordered = sorted(
        shares, key=lambda name: (rounded[name] - shares[name], name)
    )
    for name in ordered[:left]:
        rounded[name] += 1
    return rounded
