"""Selects the entries that callers are directed to.

An entry only knows the load that it puts on upstreams itself. The fewer
entries share the upstreams, the more each one knows of their load, and the
more rarely two of them fill the same upstream: with 11 entries in front of
16 upstreams, each with 6 slots of which 3.4 are in use, one request in twelve
found all slots of its upstream in use although others were free. So callers
of a data centre are directed to as few entries as can carry their load, but
at least to two, so that the loss of one leaves another.

Callers take one of the named entries at random, so each of them gets the same
load, and the one with the least capacity decides how many are needed. Where
entries announce their capacity, the set of a data centre changes within bounds
(``GROWTH_HORIZON_S`` to ``FAR_ROOM``); without, it follows the load at once.
"""

from collections.abc import Iterable
import math

import attrs

from cassiashift_core.fleet import messages
from cassiashift_core import hashing

MIN_ENTRIES = 2
MAX_ENTRIES = 64
# A stream costs an entry about 6 ms of processor time, so this is a fifth of
# a core and leaves room for the load of a second entry. Taken for entries that
# announce no capacity.
REQUESTS_PER_S_PER_ENTRY = 35.0
# Some callers keep an answer for three times its time to live of 1 s, so there
# must be enough entries for the load after this time.
GROWTH_HORIZON_S = 3.0
# The trend of the load is taken over this time.
TREND_S = 4.0
# Loads are kept at this interval, however many callers ask.
LOAD_INTERVAL_S = 0.1
# A trend isn't expected to change the load by more than this factor.
LONGEST_GROWTH = 1.5
# A set shrinks by one entry at a time, after the load was below this share of
# what the smaller set can carry for so long: several times the time for which
# callers keep an answer, so that the effect of one change is seen first.
SHRINK_SHARE = 0.8
SHRINK_AFTER_S = 15.0
# Capacities that differ by less than this factor count as equal: the order
# must not follow the noise of what entries measure.
CAPACITY_STEP = 1.5
# Entries of other data centres are named from this share of what the near
# ones can carry.
FAR_MARGIN = 0.9
# They are named first while their load is below this share of their capacity.
FAR_ROOM = 0.5
# The sets of data centres without requests are dropped.
FORGET_AFTER_S = 60.0


def capacity_of(record: messages.EntryRecord) -> float:
    """Return how many requests a second callers may send to an entry.

    A sound entry carries at least the rate that holds for all of them: one
    whose processor clock runs too fast would announce next to nothing, and
    callers would be spread over all entries.
    """
    if record.is_slow:
        return record.capacity_per_s or REQUESTS_PER_S_PER_ENTRY
    return max(record.capacity_per_s, REQUESTS_PER_S_PER_ENTRY)


def choose_entries(
    records: Iterable[messages.EntryRecord], data_centre: str
) -> list[messages.EntryRecord]:
    """Return the entries for callers of a data centre, best first.

    Entries without a disk come first, since those with one also run voters.

    Args:
        records: of the entries that are alive.
    """
    near = _near(_usable(records), data_centre)
    near = _ordered(near, data_centre)
    load = sum(item.requests_per_s for item in near)
    return near[: _count_for(near, load)]


@attrs.define
class _Choice:
    """The entries that were last named to a data centre.

    Attributes:
        hosts: their addresses.
        loads: times and loads of the last ``TREND_S``.
        low_since: time since which a smaller set would do; None if not.
    """

    hosts: frozenset[str] = frozenset()
    loads: list[tuple[float, float]] = attrs.field(factory=list)
    low_since: float | None = None
    asked_at: float = 0.0


@attrs.define(eq=False)
class Steering:
    """Chooses entries with bounds on how often and how far a set changes."""

    _choices: dict[str, _Choice] = attrs.field(factory=dict)

    @property
    def kept_count(self) -> int:
        """Return the number of sets and of loads that are kept."""
        loads = (len(choice.loads) for choice in self._choices.values())
        return len(self._choices) + sum(loads)

    def choose(
        self,
        records: Iterable[messages.EntryRecord],
        data_centre: str,
        now: float,
    ) -> list[messages.EntryRecord]:
        """Return the entries for callers of a data centre, best first.

        Args:
            records: of the entries that are alive.
        """
        usable = _usable(records)
        near = _near(usable, data_centre)
        if not any(item.capacity_per_s for item in near):
            return choose_entries(near, data_centre)
        # Callers may name any data centre. Those without entries get the same
        # ones, so that the state is bounded by the data centres of entries.
        has_own = any(item.data_centre == data_centre for item in usable)
        choice = self._choice(data_centre if has_own else '', now)
        near = _ordered(near, data_centre, choice.hosts)
        load = self._expected_load(choice, near, now)
        sound = [item for item in near if not item.is_slow]
        slow = [item for item in near if item.is_slow]
        is_full = load > FAR_MARGIN * _carried(sound)
        far = _far(usable, near, choice.hosts, is_full)
        far = _ordered(far, data_centre, choice.hosts)
        candidates = sound + far + slow
        count = _count_for(candidates, load)
        count = self._bounded_count(choice, candidates, count, load, now)
        chosen = candidates[:count]
        choice.hosts = frozenset(item.host for item in chosen)
        return chosen

    def _choice(self, data_centre: str, now: float) -> _Choice:
        for name, choice in list(self._choices.items()):
            if now - choice.asked_at > FORGET_AFTER_S:
                del self._choices[name]
        choice = self._choices.setdefault(data_centre, _Choice())
        choice.asked_at = now
        return choice

    def _expected_load(
        self,
        choice: _Choice,
        near: list[messages.EntryRecord],
        now: float,
    ) -> float:
        """Return the load of a data centre's callers by the horizon.

        Where entries of other data centres are named too, the near ones get
        their share of it only.
        """
        load = sum(item.requests_per_s for item in near)
        near_hosts = {item.host for item in near}
        near_count = len(choice.hosts & near_hosts)
        if near_count:
            load *= len(choice.hosts) / near_count
        loads = choice.loads
        if not loads or now - loads[-1][0] >= LOAD_INTERVAL_S:
            loads.append((now, load))
        while loads[0][0] < now - TREND_S:
            del loads[0]
        first_at, first = loads[0]
        if now - first_at < TREND_S / 2:
            return load
        trend = (load - first) / (now - first_at)
        expected = load + trend * GROWTH_HORIZON_S
        return min(max(expected, load), LONGEST_GROWTH * load)

    def _bounded_count(
        self,
        choice: _Choice,
        candidates: list[messages.EntryRecord],
        count: int,
        load: float,
        now: float,
    ) -> int:
        """Return the number of entries to name, bounded if it is smaller."""
        kept = sum(item.host in choice.hosts for item in candidates)
        if count >= kept:
            choice.low_since = None
            return count
        smaller = _count_for(candidates, load / SHRINK_SHARE)
        if smaller >= kept:
            choice.low_since = None
            return kept
        if choice.low_since is None:
            choice.low_since = now
        if now - choice.low_since < SHRINK_AFTER_S:
            return kept
        choice.low_since = now
        return kept - 1


def _usable(
    records: Iterable[messages.EntryRecord],
) -> list[messages.EntryRecord]:
    return [
        record
        for record in records
        if record.is_ready and not record.is_leaving and record.front
    ]


def _near(
    usable: list[messages.EntryRecord], data_centre: str
) -> list[messages.EntryRecord]:
    near = [item for item in usable if item.data_centre == data_centre]
    return near if len(near) >= MIN_ENTRIES else usable


def _ordered(
    records: list[messages.EntryRecord],
    data_centre: str,
    current: frozenset[str] = frozenset(),
) -> list[messages.EntryRecord]:
    """Return entries in the order in which they are named.

    Slow ones come last, before them those with a disk; otherwise those that
    are named already, then the largest.
    """
    order = hashing.rendezvous_order(
        data_centre, [item.host for item in records]
    )
    rank = {host: number for number, host in enumerate(order)}
    return sorted(
        records,
        key=lambda item: (
            item.is_slow,
            item.has_disk,
            item.host not in current,
            -_capacity_class(item),
            rank[item.host],
        ),
    )


def _capacity_class(record: messages.EntryRecord) -> int:
    return math.floor(math.log(capacity_of(record), CAPACITY_STEP))


def _count_for(records: list[messages.EntryRecord], load: float) -> int:
    """Return how many of the first entries can carry a load together.

    If not even all of them can, those that carry the most together.
    """
    least = math.inf
    best, most = 0, -1.0
    for number, record in enumerate(records[:MAX_ENTRIES], 1):
        least = min(least, capacity_of(record))
        carried = number * least
        if number >= MIN_ENTRIES and carried >= load:
            return number
        if carried > most or number <= MIN_ENTRIES:
            best, most = number, carried
    return best


def _carried(records: list[messages.EntryRecord]) -> float:
    """Return the highest load that the first entries can carry together."""
    count = _count_for(records, math.inf)
    return count * min(map(capacity_of, records[:count]), default=0.0)


def _far(
    usable: list[messages.EntryRecord],
    near: list[messages.EntryRecord],
    current: frozenset[str],
    is_full: bool,
) -> list[messages.EntryRecord]:
    """Return entries of other data centres to name after the near ones.

    Those that are named already stay candidates until the set shrinks; others
    are added if the near ones are full and they have room.
    """
    near_hosts = {item.host for item in near}
    far = []
    for item in usable:
        if item.host in near_hosts or item.is_slow:
            continue
        capacity = capacity_of(item)
        has_room = item.requests_per_s < FAR_ROOM * capacity
        if item.host in current:
            has_room = item.requests_per_s < capacity
        if has_room and (is_full or item.host in current):
            far.append(item)
    return far
