"""Assigns requests to upstreams, or queues or refuses them."""

import asyncio
import collections
import math
import random
import time

import attrs

from cassiashift_core import CassiashiftError
from cassiashift_core import ErrorCode
from cassiashift_core import fleet
from cassiashift_core import placing
from cassiashift_core import routes
from cassiashift_daemon.direct import calls
from cassiashift_daemon.direct import config
from cassiashift_daemon.direct import exchange
from cassiashift_daemon.direct import fleet_runner
from cassiashift_daemon.direct import permit_runner
from cassiashift_daemon.direct import poison_guard
from cassiashift_daemon.direct import tables
from cassiashift_daemon import logs

# Slots assumed where neither the configuration nor an upstream states any.
DEFAULT_SLOTS = 4
# An upstream that refused gets no request for this long, which is the mean
# duration of a request at an upstream.
REFUSAL_PAUSE_S = 0.15
# A group that lost a rank stalls, refuses requests and is formed again within
# seconds. A caller that retries sooner is refused again, and its answer is
# late in any case.
GROUP_RECOVERY_S = 2.0
# Upper limit of Retry-After, as a share of the caller's remaining time.
RETRY_AFTER_SHARE = 1 / 3
# Share of its remaining time that a request may spend in the queue.
QUEUE_WAIT_SHARE = 0.4
# Callers abandon a stream without an event within two seconds.
STREAM_QUEUE_WAIT_S = 1.2
TICK_S = 0.05
# Weight of the newest send in the moving average of the time at an upstream.
HOLD_WEIGHT = 0.1
INITIAL_HOLD_S = 0.5
# Random share of the delay that is added to it, so that refused callers
# don't all retry at once.
RETRY_AFTER_SPREAD = 0.5
SHORTEST_RETRY_AFTER_S = 0.1
NO_ROOM = 'all upstreams back off or have reached their limits'
LONGEST_RETRY_AFTER_S = 2.0


@attrs.define(eq=False)
class _QueuedCall(placing.QueuedRequest):
    """A queued request; ``fut`` gets its upstream or the refusal."""

    call: calls.Call | None = None
    fut: asyncio.Future | None = None


@attrs.define(eq=False)
class Placement:
    """Assigns the requests of one entry to upstreams."""

    cfg: config.DirectConfig
    holder: tables.TableHolder
    runner: fleet_runner.FleetRunner
    guard: poison_guard.PoisonGuard
    permits: permit_runner.PermitRunner
    rng: random.Random
    queue: placing.RequestQueue = attrs.field(factory=placing.RequestQueue)
    chooser: placing.Chooser = attrs.field(init=False)
    _placed_at: dict[str, float] = attrs.field(factory=dict)
    _group_failed_at: dict[str, float] = attrs.field(factory=dict)
    _budgets: dict[str, placing.WindowBudget] = attrs.field(factory=dict)
    _mean_hold_s: dict[str, float] = attrs.field(
        factory=lambda: collections.defaultdict(lambda: INITIAL_HOLD_S)
    )

    def __attrs_post_init__(self) -> None:
        """Create the chooser of upstreams; listen to permits."""
        self.chooser = placing.Chooser(
            self.runner.upstreams, self.cfg.data_centre, self.rng
        )
        self.permits.on_answer = self._use_permit

    async def place(self, call: calls.Call) -> fleet.Upstream:
        """Return the upstream for a request, after a wait if needed.

        The request occupies a slot of it until ``release`` is called.

        Raises:
            CassiashiftError: OVERLOADED, NO_UPSTREAM or PROMPT_BLOCKED;
                nothing was sent.
        """
        self.guard.check(call)
        self._charge_budget(call)
        now = time.monotonic()
        chosen = None
        if self.queue.peek(call.service) is None:
            chosen = self._choose_upstream(call, now)
        if chosen is None:
            chosen = await self._wait_in_queue(call, now)
            self._check_before_send(call, chosen)
        logs.info(
            'request_placed',
            request=call.id,
            upstream=chosen.id,
            service=call.service,
            route=call.route.name,
            send=len(call.log.attempts) + 1,
            in_flight=self._condition(chosen).in_flight,
            limit_per_s=self._condition(chosen).limit.per_s,
            waited_s=time.monotonic() - now,
            left_s=call.remaining_s(),
            configuration=self.holder.version,
        )
        return chosen

    def _check_before_send(
        self, call: calls.Call, upstream: fleet.Upstream
    ) -> None:
        """Check a request again that has waited; release its slot if blocked.

        Raises:
            CassiashiftError: PROMPT_BLOCKED.
        """
        try:
            self.guard.check(call)
        except CassiashiftError:
            self._condition(upstream).record_end()
            self._serve_queue(call.service)
            raise

    def refuse_blocked(self) -> None:
        """Refuse the queued requests that may not be sent any more."""
        for queued in self.queue.waiting():
            try:
                self.guard.check(queued.call)
            except CassiashiftError as exc:
                queued.is_over = True
                if not queued.fut.done():
                    queued.fut.set_exception(exc)

    def release(
        self, call: calls.Call, upstream: fleet.Upstream, held_s: float
    ) -> None:
        """Release the slot of a send that has ended.

        Args:
            held_s: seconds that the send took.
        """
        self._condition(upstream).record_end()
        mean_s = self._mean_hold_s[call.service]
        self._mean_hold_s[call.service] = mean_s + HOLD_WEIGHT * (
            held_s - mean_s
        )
        self._serve_queue(call.service)

    def may_move(self, call: calls.Call, upstream: fleet.Upstream) -> bool:
        """Return whether a send in progress may go to another upstream now."""
        now = time.monotonic()
        budget = self._budgets.get(call.service)
        entries = len(self.runner.live_records()) + 1
        if (
            not call.log.may_abandon()
            or budget is None
            or not budget.has_room(entries, now)
        ):
            return False
        candidates = self.runner.upstreams.accepting(call.service, now)
        limit = self._in_flight_limit(call.service, candidates)
        excluded = {upstream.id, *call.log.excluded}
        return any(
            candidate.id not in excluded
            and self._condition(candidate).accepts(now)
            and self._condition(candidate).in_flight < limit
            for candidate in candidates
        )

    def record_success(self, upstream: fleet.Upstream) -> None:
        """Record an answer that is no server error."""
        self._condition(upstream).record_success(time.monotonic())

    def record_failure(
        self, upstream: fleet.Upstream, failure: exchange.SendFailedError
    ) -> None:
        """Record a failed send; the upstream is avoided for a while."""
        now = time.monotonic()
        condition = self._condition(upstream)
        if failure.at_fault:
            # Another rank of the upstream's group is lost.
            self._group_failed_at[upstream.service] = now
            condition.record_refusal(now, GROUP_RECOVERY_S / 2)
        elif failure.is_refusal:
            condition.record_refusal(now, REFUSAL_PAUSE_S)
        else:
            condition.record_failure(now, failure.is_down)

    def record_back_off(self, upstream: fleet.Upstream, value: str) -> None:
        """Record a pause that an upstream asks for, in seconds as text."""
        try:
            seconds = float(value)
        except ValueError:
            seconds = 0.0
        pause_s = self._condition(upstream).record_back_off(
            seconds, time.monotonic()
        )
        is_plain = 0.0 < pause_s == seconds
        log = logs.info if is_plain else logs.warning
        log(
            'upstream_backs_off',
            upstream=upstream.id,
            service=upstream.service,
            asked=value,
            for_s=pause_s,
        )

    def tick(self) -> None:
        """Place queued requests, and refuse those that waited too long."""
        now = time.monotonic()
        for service in self.queue.services():
            self._serve_queue(service)
        for queued in self.queue.expired(now):
            self._refuse_queued(queued, 'waited too long')

    def _charge_budget(self, call: calls.Call) -> None:
        now = time.monotonic()
        budget = self._budgets.get(call.service)
        if budget is None:
            bounds = self.cfg.bounds
            budget = placing.WindowBudget(
                bounds.retry_ratio,
                bounds.retry_slack,
                bounds.retry_window_s,
            )
            self._budgets[call.service] = budget
        if not call.log.attempts:
            budget.record_first_send(now)
            return
        entries = len(self.runner.live_records()) + 1
        if not budget.try_spend(entries, now):
            raise CassiashiftError(
                ErrorCode.OVERLOADED,
                'the retry budget is spent',
                call.log.verdict,
                retry_after_s=self.retry_after_s(call),
            )

    def _choose_upstream(
        self, call: calls.Call, now: float
    ) -> fleet.Upstream | None:
        candidates = self.runner.upstreams.accepting(call.service, now)
        limit = self._in_flight_limit(call.service, candidates)
        chosen = self.chooser.choose(candidates, limit, call.log.excluded, now)
        if chosen is not None:
            self._condition(chosen).record_send(now)
            self._request_next_permit(call, now)
        return chosen

    def _request_next_permit(self, call: calls.Call, now: float) -> None:
        """Request a permit ahead if the next request is likely to use it."""
        placed_at = self._placed_at.get(call.service, -math.inf)
        self._placed_at[call.service] = now
        if now - placed_at < fleet.PERMIT_VALID_S:
            self._request_permit(call, 0.0, now)

    def _request_permit(
        self, call: calls.Call, patience_s: float, now: float
    ) -> None:
        """Request a permit for requests like this one, if one is of use."""
        candidates = self.runner.upstreams.accepting(call.service, now)
        limited = self.chooser.choose_limited(
            candidates,
            self._in_flight_limit(call.service, candidates),
            call.log.excluded,
            now,
            wanted=max(1, self.queue.count(call.service)),
        )
        if limited is not None:
            self.permits.request(limited, patience_s)

    def _use_permit(self, service: str) -> None:
        """Serve or refuse queued requests after an issuer's answer."""
        self._serve_queue(service)
        now = time.monotonic()
        for queued in self.queue.waiting():
            call = queued.call
            if call.service != service:
                continue
            if now + self._room_in_s(call, now) > queued.give_up_at:
                self._refuse_queued(queued, NO_ROOM)

    def _refuse_queued(self, queued: _QueuedCall, reason: str) -> None:
        queued.is_over = True
        if not queued.fut.done():
            queued.fut.set_exception(self._refusal(queued.call, reason))

    def _condition(self, upstream: fleet.Upstream) -> fleet.Condition:
        return self.runner.upstreams.condition(upstream)

    def _in_flight_limit(
        self, service_name: str, candidates: list[fleet.Upstream]
    ) -> int:
        """Return how many requests this entry sends an upstream at once."""
        service = self._service(service_name)
        if service is not None and service.engine is not None:
            return service.engine.slots
        slots = [upstream.slots for upstream in candidates if upstream.slots]
        return max(slots, default=DEFAULT_SLOTS)

    def _service(self, name: str) -> routes.Service | None:
        table = self.holder.table
        return None if table is None else table.service(name)

    async def _wait_in_queue(
        self, call: calls.Call, now: float
    ) -> fleet.Upstream:
        if not self.runner.upstreams.accepting(call.service, now):
            raise self._refusal(call, 'no upstream is known')
        max_wait_s = QUEUE_WAIT_SHARE * (call.ends_at - now)
        if call.route.kind is routes.Kind.STREAM:
            max_wait_s = min(max_wait_s, STREAM_QUEUE_WAIT_S)
        if self._room_in_s(call, now) > max_wait_s:
            raise self._refusal(call, NO_ROOM)
        if self._expected_wait_s(call, now) > max_wait_s:
            raise self._refusal(call, 'the queue is too long')
        queued = _QueuedCall(
            call.service,
            call.priority,
            now + max_wait_s,
            call=call,
            fut=asyncio.get_running_loop().create_future(),
        )
        self.queue.add(queued)
        logs.info(
            'request_queued',
            request=call.id,
            service=call.service,
            ahead=self.queue.count(call.service) - 1,
            patience_s=max_wait_s,
        )
        self._serve_queue(call.service)
        try:
            return await queued.fut
        except asyncio.CancelledError:
            self._release_unused(queued.fut)
            raise
        finally:
            queued.is_over = True

    def _room_in_s(self, call: calls.Call, now: float) -> float:
        """Return the seconds until an upstream's pause or limit has room."""
        candidates = self.runner.upstreams.accepting(call.service, now)
        return self.chooser.room_in_s(candidates, now)

    def _expected_wait_s(self, call: calls.Call, now: float) -> float:
        candidates = self.runner.upstreams.accepting(call.service, now)
        if not candidates:
            return 0.0
        slot_count = len(candidates) * self._in_flight_limit(
            call.service, candidates
        )
        ahead = self.queue.count(call.service)
        return ahead * self._mean_hold_s[call.service] / slot_count

    def _serve_queue(self, service: str) -> None:
        now = time.monotonic()
        while True:
            queued = self.queue.peek(service)
            if queued is None:
                return
            chosen = self._choose_upstream(queued.call, now)
            if chosen is None:
                patience_s = min(
                    queued.give_up_at - now, fleet.LONGEST_PATIENCE_S
                )
                self._request_permit(queued.call, patience_s, now)
                return
            queued.is_over = True
            queued.fut.set_result(chosen)

    def _refusal(self, call: calls.Call, reason: str) -> CassiashiftError:
        now = time.monotonic()
        has_any = self.runner.upstreams.accepting(call.service, now)
        code = ErrorCode.OVERLOADED if has_any else ErrorCode.NO_UPSTREAM
        return CassiashiftError(
            code,
            f'service {call.service}: {reason}',
            call.log.verdict,
            retry_after_s=self.retry_after_s(call),
        )

    def retry_after_s(self, call: calls.Call) -> float:
        """Return the seconds after which a refused caller should retry."""
        now = time.monotonic()
        wait_s = self._expected_wait_s(call, now)
        failed_at = self._group_failed_at.get(call.service, -GROUP_RECOVERY_S)
        if now - failed_at < GROUP_RECOVERY_S:
            wait_s = max(wait_s, GROUP_RECOVERY_S / (1 + RETRY_AFTER_SPREAD))
        wait_s = min(
            max(wait_s, SHORTEST_RETRY_AFTER_S), LONGEST_RETRY_AFTER_S
        )
        wait_s *= 1 + RETRY_AFTER_SPREAD * self.rng.random()
        longest_s = RETRY_AFTER_SHARE * (call.deadline_at - now)
        room_in_s = self._room_in_s(call, now)
        room_in_s *= 1 + RETRY_AFTER_SPREAD * self.rng.random()
        return max(SHORTEST_RETRY_AFTER_S, min(wait_s, longest_s), room_in_s)

    def _release_unused(self, fut: asyncio.Future) -> None:
        """Release the slot of a placed request that was cancelled."""
        if fut.done() and not fut.cancelled() and fut.exception() is None:
            self._condition(fut.result()).record_end()
