"""Evidence for and against parts and requests, bounded in age and number."""

from collections.abc import Container
from collections.abc import ItemsView

import attrs

# A part of the prompts of a service: names of the service and of the part. A
# whole request: ANY_SERVICE and its identity.
PartKey = tuple[str, str]
# A start of an upstream: its id, and its start in ms since 1970.
CrashKey = tuple[str, int]

# An upstream that has sent this many events of an answer has outlived the
# parts of its prompt.
BEGUN_EVENTS = 4
# A part that was answered within this time is not the cause of a crash.
CLEAN_S = 30.0
# Upstreams crash for other reasons, too: older crashes count no more.
SUSPECT_S = 60.0
# Crashes within this time have a common cause other than a prompt, such as a
# loss of power: a request reaches the next upstream only after the first one
# has crashed.
COMMON_CAUSE_S = 0.05
MAX_CLEAN_PARTS = 4096
MAX_SUSPECTED_PARTS = 1024
MAX_CRASHES_PER_PART = 32


@attrs.define
class CleanParts:
    """When the newest answer on each part was seen here or elsewhere."""

    _answered_at: dict[PartKey, float] = attrs.field(factory=dict)

    def record(self, key: PartKey, at: float) -> None:
        """Record an answer on a part at a time."""
        at = max(at, self._answered_at.pop(key, at))
        self._answered_at[key] = at
        if len(self._answered_at) > MAX_CLEAN_PARTS:
            del self._answered_at[next(iter(self._answered_at))]

    def drop(self, key: PartKey) -> None:
        """Forget the answers on a part."""
        self._answered_at.pop(key, None)

    def age_s(self, key: PartKey, now: float) -> float | None:
        """Return the age of the newest answer; None if it is no evidence."""
        at = self._answered_at.get(key)
        return None if at is None or now - at > CLEAN_S else now - at


@attrs.define
class Suspicion:
    """The crashes at which a part was present.

    Attributes:
        crashes: time of each crash, by upstream and its start.
        requests: the requests with the part, by crash.
    """

    crashes: dict[CrashKey, float] = attrs.field(factory=dict)
    requests: dict[CrashKey, set[str]] = attrs.field(factory=dict)

    def add(self, crash: CrashKey, request: str, now: float) -> None:
        """Record that a request with the part was present at a crash."""
        self.crashes.setdefault(crash, now)
        self.requests.setdefault(crash, set()).add(request)
        while len(self.crashes) > MAX_CRASHES_PER_PART:
            oldest = next(iter(self.crashes))
            del self.crashes[oldest], self.requests[oldest]

    def crash_count(self, now: float, explained: Container[CrashKey]) -> int:
        """Return the number of crashes, those of a common cause as one.

        Args:
            explained: crashes that don't count, as their cause is known.
        """
        recent = sorted(
            at
            for crash, at in self.crashes.items()
            if crash not in explained and now - at <= SUSPECT_S
        )
        count, last = 0, None
        for at in recent:
            if last is None or at - last > COMMON_CAUSE_S:
                count += 1
            last = at
        return count

    def request_count(self) -> int:
        """Return the number of different requests at all crashes."""
        return len(set().union(*self.requests.values()))

    def is_expired(self, now: float) -> bool:
        """Return whether no crash is recent."""
        return now - max(self.crashes.values(), default=0.0) > SUSPECT_S


@attrs.define
class Suspicions:
    """Suspicions by part, the least recently raised first."""

    _by_key: dict[PartKey, Suspicion] = attrs.field(factory=dict)

    def __contains__(self, key: PartKey) -> bool:
        """Return whether a part is suspected."""
        return key in self._by_key

    def __len__(self) -> int:
        """Return the number of suspected parts."""
        return len(self._by_key)

    def add(
        self, key: PartKey, crash: CrashKey, request: str, now: float
    ) -> None:
        """Record that a request with a part was present at a crash."""
        suspicion = self._by_key.pop(key, None) or Suspicion()
        suspicion.add(crash, request, now)
        self._by_key[key] = suspicion
        if len(self._by_key) > MAX_SUSPECTED_PARTS:
            del self._by_key[next(iter(self._by_key))]

    def drop(self, key: PartKey) -> Suspicion | None:
        """Forget and return the suspicion on a part."""
        return self._by_key.pop(key, None)

    def items(self) -> ItemsView[PartKey, Suspicion]:
        """Return the suspected parts with their suspicions."""
        return self._by_key.items()

    def drop_expired(self, now: float) -> None:
        """Forget parts without a recent crash."""
        for key, suspicion in list(self._by_key.items()):
            if suspicion.is_expired(now):
                del self._by_key[key]
