"""Queues or refuses the requests that no upstream can take now."""

import asyncio
import collections
from collections.abc import Callable
import random
import time

import attrs

from cassiashift_core import capacity
from cassiashift_core import CassiashiftError
from cassiashift_core import ErrorCode
from cassiashift_core import fleet
from cassiashift_core import placing
from cassiashift_core import routes
from cassiashift_daemon.direct import calls
from cassiashift_daemon.direct import fleet_runner
from cassiashift_daemon.direct import poison_guard
from cassiashift_daemon.direct import tables
from cassiashift_daemon import logs

# Slots assumed where neither the configuration nor an upstream states any.
DEFAULT_SLOTS = 4
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
# Weight of the newest send in the moving average of the time at an upstream.
HOLD_WEIGHT = 0.1
INITIAL_HOLD_S = 0.5
# Random share of the delay that is added to it, so that refused callers
# don't all retry at once.
RETRY_AFTER_SPREAD = 0.5
SHORTEST_RETRY_AFTER_S = 0.1
NO_ROOM = 'all upstreams back off or have reached their limits'
LONGEST_RETRY_AFTER_S = 2.0
EVACUATED = 'all upstreams are in evacuated data centres'


@attrs.define(eq=False)
class _QueuedCall(placing.QueuedRequest):
    """A queued request; ``fut`` gets its upstream or the refusal."""

    call: calls.Call | None = None
    fut: asyncio.Future | None = None


@attrs.define(eq=False)
class Admission:
    """The queue of one entry's requests, and its refusals.

    Attributes:
        choose_upstream: returns the upstream for a request and occupies a
            slot of it; None if none can take it now.
        release_slot: releases the slot that ``choose_upstream`` occupied.
        request_permit: requests a permit for a request that can wait for a
            number of seconds.
    """

    holder: tables.TableHolder
    runner: fleet_runner.FleetRunner
    chooser: placing.Chooser
    guard: poison_guard.PoisonGuard
    rng: random.Random
    choose_upstream: Callable[[calls.Call, float], fleet.Upstream | None]
    release_slot: Callable[[calls.Call, fleet.Upstream], None]
    request_permit: Callable[[calls.Call, float, float], None]
    queue: placing.RequestQueue = attrs.field(factory=placing.RequestQueue)
    limits: capacity.ServiceLimits = attrs.field(
        factory=capacity.ServiceLimits
    )
    _group_failed_at: dict[str, float] = attrs.field(factory=dict)
    _mean_hold_s: dict[str, float] = attrs.field(
        factory=lambda: collections.defaultdict(lambda: INITIAL_HOLD_S)
    )

    async def wait(self, call: calls.Call, now: float) -> fleet.Upstream:
        """Return the upstream for a request once one can take it.

        Raises:
            CassiashiftError: OVERLOADED or NO_UPSTREAM; nothing was sent.
        """
        if not self.runner.upstreams.accepting(call.service, now):
            if self.runner.upstreams.is_evacuated(call.service):
                raise self._refusal(call, EVACUATED)
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
        self.serve_queue(call.service)
        try:
            return await queued.fut
        except asyncio.CancelledError:
            self._release_unused(call, queued.fut)
            raise
        finally:
            queued.is_over = True

    def serve_queue(self, service: str) -> None:
        """Place the queued requests of a service that upstreams can take."""
        now = time.monotonic()
        while True:
            queued = self.queue.peek(service)
            if queued is None:
                return
            chosen = self.choose_upstream(queued.call, now)
            if chosen is None:
                patience_s = min(
                    queued.give_up_at - now, fleet.LONGEST_PATIENCE_S
                )
                self.request_permit(queued.call, patience_s, now)
                return
            queued.is_over = True
            queued.fut.set_result(chosen)

    def tick(self) -> None:
        """Place queued requests, and refuse those that waited too long."""
        now = time.monotonic()
        self._update_limits(now)
        self.apply_evacuations()
        for queued in self.queue.expired(now):
            self._refuse_queued(queued, 'waited too long')

    def refuse_blocked(self) -> None:
        """Refuse the queued requests that may not be sent any more."""
        for queued in self.queue.waiting():
            try:
                self.guard.check(queued.call)
            except CassiashiftError as exc:
                queued.is_over = True
                if not queued.fut.done():
                    queued.fut.set_exception(exc)

    def apply_evacuations(self) -> None:
        """Place the queued requests elsewhere, or refuse them at once."""
        for service in self.queue.services():
            if self.runner.upstreams.is_evacuated(service):
                self._refuse_evacuated(service)
            else:
                self.serve_queue(service)

    def _refuse_evacuated(self, service: str) -> None:
        waiting = [
            queued
            for queued in self.queue.waiting()
            if queued.service == service
        ]
        for queued in waiting:
            self._refuse_queued(queued, EVACUATED)
        logs.warning(
            'queue_evacuated',
            service=service,
            refused=len(waiting),
            evacuated=','.join(sorted(self.runner.upstreams.evacuated)),
        )

    def use_permit(self, service: str) -> None:
        """Serve or refuse queued requests after an issuer's answer."""
        self.serve_queue(service)
        now = time.monotonic()
        for queued in self.queue.waiting():
            call = queued.call
            if call.service != service:
                continue
            if now + self._room_in_s(call, now) > queued.give_up_at:
                self._refuse_queued(queued, NO_ROOM)

    def record_hold(self, service: str, held_s: float) -> None:
        """Record the time that a send to a service took, in seconds."""
        mean_s = self._mean_hold_s[service]
        self._mean_hold_s[service] = mean_s + HOLD_WEIGHT * (held_s - mean_s)

    def record_group_failure(self, service: str, now: float) -> None:
        """Record that a group of a service has lost a rank."""
        self._group_failed_at[service] = now

    def in_flight_limit(
        self, service_name: str, candidates: list[fleet.Upstream]
    ) -> float:
        """Return how many requests may be in flight at one upstream.

        The limit may be fractional for services with an engine.
        """
        limit = self.limits.limit(service_name)
        if limit is not None:
            return limit
        table = self.holder.table
        service = None if table is None else table.service(service_name)
        if service is not None and service.engine is not None:
            return service.engine.slots
        slots = [upstream.slots for upstream in candidates if upstream.slots]
        return max(slots, default=DEFAULT_SLOTS)

    def record_pause(self, call: calls.Call, pause_s: float) -> None:
        """Record a pause of a stream that its upstream alone has caused."""
        self.limits.record_pause(call.service, id(call), pause_s)

    def retry_after_s(self, call: calls.Call) -> float:
        """Return the seconds after which a refused caller should retry."""
        now = time.monotonic()
        wait_s = self._expected_wait_s(call, now)
        failed_at = self._group_failed_at.get(call.service, -GROUP_RECOVERY_S)
        if now - failed_at < GROUP_RECOVERY_S:
            wait_s = max(wait_s, GROUP_RECOVERY_S / (1 + RETRY_AFTER_SPREAD))
        if self.runner.upstreams.is_evacuated(call.service):
            # An evacuation lasts for minutes; returns sooner are of no use.
            wait_s = LONGEST_RETRY_AFTER_S
        wait_s = min(
            max(wait_s, SHORTEST_RETRY_AFTER_S), LONGEST_RETRY_AFTER_S
        )
        wait_s *= 1 + RETRY_AFTER_SPREAD * self.rng.random()
        longest_s = RETRY_AFTER_SHARE * (call.deadline_at - now)
        room_in_s = self._room_in_s(call, now)
        room_in_s *= 1 + RETRY_AFTER_SPREAD * self.rng.random()
        return max(SHORTEST_RETRY_AFTER_S, min(wait_s, longest_s), room_in_s)

    def _update_limits(self, now: float) -> None:
        table = self.holder.table
        if table is None:
            return
        self.limits.apply_table(table)
        for service, before in self.limits.update(
            now, self._mean_hold_s.__getitem__
        ):
            limiter = self.limits.limiters[service]
            logs.info(
                'concurrency_limit_changed',
                service=service,
                limit=limiter.limit,
                before=before,
                pause_s=limiter.pause_s,
                objective_s=limiter.objective_s,
                slots=limiter.slots,
                hold_s=self._mean_hold_s[service],
            )

    def _refuse_queued(self, queued: _QueuedCall, reason: str) -> None:
        queued.is_over = True
        if not queued.fut.done():
            queued.fut.set_exception(self._refusal(queued.call, reason))

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

    def _room_in_s(self, call: calls.Call, now: float) -> float:
        """Return the seconds until an upstream's pause or limit has room."""
        candidates = self.runner.upstreams.accepting(call.service, now)
        return self.chooser.room_in_s(candidates, now)

    def _expected_wait_s(self, call: calls.Call, now: float) -> float:
        candidates = self.runner.upstreams.accepting(call.service, now)
        if not candidates:
            return 0.0
        slot_count = len(candidates) * self.in_flight_limit(
            call.service, candidates
        )
        ahead = self.queue.count(call.service)
        return ahead * self._mean_hold_s[call.service] / slot_count

    def _release_unused(self, call: calls.Call, fut: asyncio.Future) -> None:
        """Release the slot of a placed request that was cancelled."""
        if fut.done() and not fut.cancelled() and fut.exception() is None:
            self.release_slot(call, fut.result())
