"""What one entry knows of one start of an upstream beside announcements."""

import math

import attrs

from cassiashift_core import breaker as breakers
from cassiashift_core.fleet import coldness as colds
from cassiashift_core.fleet import limits
from cassiashift_core.fleet import permits
from cassiashift_core.fleet import slowdowns

# Pauses of an upstream's circuit breaker. The first one outlasts a short
# stall; the longest one bounds the delay until a recovered upstream is used.
FIRST_PAUSE_S = 0.5
LONGEST_PAUSE_S = 4.0
# Consecutive failures that open the breaker; a refused connection opens it at
# once.
FAILURES_TO_OPEN = 2
# Weight of the newest outcome in the moving average of failures.
FAILURE_WEIGHT = 0.2
# Weight of the newest request in the moving average of the slowness, and the
# limit of what one request counts, either way.
SLOWNESS_WEIGHT = 0.1
MAX_SLOWNESS = 8.0
# A longer back-off is taken for a mistake and shortened to this.
LONGEST_BACK_OFF_S = 600.0


@attrs.define(eq=False)
class Condition:
    """Requests in flight, outcomes, pauses, limit, coldness of an upstream.

    Times are of the entry's monotonic clock, in seconds.

    Attributes:
        in_flight: requests of this entry that have not ended.
        work_ms: expected time until those are done.
        tokens: tokens that they hold in the upstream's memory.
        prompt_ms: time in which the prompts of those of them are processed
            that have had no answer yet.
        slowness: moving average of the actual time of a request, as a
            multiple of the expected one.
        others_in_flight: requests of the other entries, by their digests;
            likewise ``others_work_ms`` and ``others_tokens``.
        others_at: time of the newest of those figures.
        failure_share: moving average of failed requests, 0 to 1.
        full_until: time until which it is skipped after a refusal.
        backs_off_until: time until which it has asked for no requests.
        limit: the limit that it names to all entries.
        coldness: whether it takes only few requests for a while.
        permit: permit of this entry to send in spite of a limit or coldness.
        slowdown: how much slower it is than others of its group.
    """

    in_flight: int = 0
    work_ms: float = 0.0
    tokens: int = 0
    prompt_ms: float = 0.0
    slowness: float = 1.0
    others_in_flight: int = 0
    others_work_ms: float = 0.0
    others_tokens: int = 0
    others_at: float = -math.inf
    failures_in_row: int = 0
    failure_share: float = 0.0
    full_until: float = 0.0
    backs_off_until: float = 0.0
    breaker: breakers.Breaker = attrs.field(
        factory=lambda: breakers.Breaker(LONGEST_PAUSE_S)
    )
    limit: limits.NamedLimit = attrs.field(factory=limits.NamedLimit)
    coldness: colds.Coldness = attrs.field(factory=colds.Coldness)
    permit: permits.HeldPermit = attrs.field(factory=permits.HeldPermit)
    slowdown: slowdowns.Slowdown = attrs.field(factory=slowdowns.Slowdown)

    @property
    def is_limited(self) -> bool:
        """Return whether it names a limit."""
        return self.limit.per_s > 0

    @property
    def all_in_flight(self) -> int:
        """Return the requests in flight of all entries, as far as known."""
        return self.in_flight + self.others_in_flight

    def add_work(self, work_ms: float, tokens: int, prompt_ms: float) -> None:
        """Add to the work that this entry has in flight; may be negative."""
        self.work_ms = max(0.0, self.work_ms + work_ms)
        self.tokens = max(0, self.tokens + tokens)
        self.prompt_ms = max(0.0, self.prompt_ms + prompt_ms)

    def record_time(self, actual_s: float, expected_s: float) -> None:
        """Record the time of a request that was answered."""
        if expected_s > 0:
            ratio = min(
                max(actual_s / expected_s, 1 / MAX_SLOWNESS), MAX_SLOWNESS
            )
            self.slowness += SLOWNESS_WEIGHT * (ratio - self.slowness)

    def add_others(
        self, in_flight: int, work_ms: float, tokens: int, now: float
    ) -> None:
        """Add the work that another entry has in flight."""
        self.others_in_flight += in_flight
        self.others_work_ms += work_ms
        self.others_tokens += tokens
        self.others_at = max(self.others_at, now)

    def remove_others(
        self, in_flight: int, work_ms: float, tokens: int
    ) -> None:
        """Withdraw work that ``add_others`` has added."""
        self.others_in_flight -= in_flight
        self.others_work_ms = max(0.0, self.others_work_ms - work_ms)
        self.others_tokens -= tokens

    def is_cold(self, now: float) -> bool:
        """Return whether it is cold, as far as this entry knows."""
        return self.coldness.is_cold(now)

    def is_rationed(self, now: float) -> bool:
        """Return whether a request needs a permit."""
        return self.is_limited or self.is_cold(now)

    def rate_per_s(self, now: float) -> float:
        """Return the requests a second that it takes; 0 if not bounded."""
        if not self.is_cold(now):
            return self.limit.per_s
        cold_per_s = self.coldness.terms.per_s
        return min(cold_per_s, self.limit.per_s or cold_per_s)

    def cold_cost(self, now: float) -> float:
        """Return the extra cost of coldness, in requests in flight."""
        return self.coldness.cost(now)

    def presume_cold(self, now: float) -> bool:
        """Take it for cold until it announces; return whether this is new."""
        is_new = self.coldness.presume(now)
        if is_new and self.coldness.terms.per_s > 0:
            self.drop_permit()
        return is_new

    def drop_permit(self) -> None:
        """Drop a permit that was issued for another rate."""
        self.permit = permits.HeldPermit(self.permit.number)

    def record_send(self, now: float) -> None:
        """Record that a request was sent."""
        self.breaker.record_send(now)
        self.in_flight += 1
        if self.is_rationed(now):
            self.permit.spend()

    def record_end(self) -> None:
        """Record the end of a request, whatever its outcome."""
        self.in_flight = max(0, self.in_flight - 1)

    def record_success(self, now: float) -> None:
        """Record a successful request."""
        self.failures_in_row = 0
        self.failure_share *= 1 - FAILURE_WEIGHT
        self._close_breaker(now)

    def record_failure(self, now: float, is_down: bool = False) -> None:
        """Record a failed request; ``is_down`` if it can't be reached."""
        self.failures_in_row += 1
        self.failure_share += FAILURE_WEIGHT * (1 - self.failure_share)
        if is_down or self.failures_in_row >= FAILURES_TO_OPEN:
            self.breaker.record_failure(now, FIRST_PAUSE_S)
        if is_down:
            # It may have ended, and may be cold when it is back.
            self.presume_cold(now)

    def record_refusal(self, now: float, pause_s: float) -> None:
        """Record a refusal; the upstream is skipped for a pause."""
        self.full_until = max(self.full_until, now + pause_s)
        self._close_breaker(now)

    def record_back_off(self, seconds: float, now: float) -> float:
        """Record a pause that the upstream asks for.

        Returns:
            its seconds; 0 if the value is no pause.
        """
        if not math.isfinite(seconds) or seconds <= 0:
            return 0.0
        pause_s = min(seconds, LONGEST_BACK_OFF_S)
        self.backs_off_until = max(now + pause_s, self.backs_off_until)
        return pause_s

    def is_available(self, now: float) -> bool:
        """Return whether a request may be sent now, with a permit."""
        return (
            now >= self.full_until
            and now >= self.backs_off_until
            and self.breaker.allows(self.in_flight, now)
        )

    def accepts(self, now: float) -> bool:
        """Return whether a request may be sent now."""
        # Called for every candidate of a decision, so without properties.
        is_rationed = self.limit.limit.per_s > 0 or (
            self.coldness.terms.per_s > 0 and self.coldness.is_cold(now)
        )
        if is_rationed and not self.permit.is_valid(now):
            return False
        return self.is_available(now)

    def needs_permit(self, now: float) -> bool:
        """Return whether a permit would let it accept a request."""
        return (
            self.is_rationed(now)
            and self.is_available(now)
            and self.permit.may_request(now)
        )

    def room_at(self, now: float) -> float:
        """Return the next time known at which it takes a request."""
        room_at = max(now, self.backs_off_until)
        if self.is_rationed(now):
            room_at = max(room_at, self.permit.room_at(now))
        return room_at

    def _close_breaker(self, now: float) -> None:
        if self.breaker.state != 'closed':
            self.breaker.record_success(now)
