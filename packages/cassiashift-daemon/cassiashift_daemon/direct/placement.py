"""Gives each request an upstream, or lets it wait for one, or refuses it."""

import asyncio
import collections
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
from cassiashift_daemon.direct import tables
from cassiashift_daemon import logs

# Slots of an upstream that states none.
DEFAULT_SLOTS = 4
# An upstream that refused is asked again after this; it is the time that a
# request at an upstream takes on average.
REFUSAL_PAUSE_S = 0.15
# A group that lost a rank stalls, refuses and is formed anew within seconds.
# Callers that come back sooner are refused again, and the answer is late in
# any case.
GROUP_RETURN_S = 2.0
# Callers wait for at most this share of the time that they have left.
RETURN_SHARE = 1 / 3
# Share of the time left that a request may spend in the queue.
WAIT_SHARE = 0.4
# Callers give up a stream that shows no event within two seconds.
STREAM_WAIT_S = 1.2
TICK_S = 0.05
# Weight of the newest request in the mean time at an upstream.
HOLD_WEIGHT = 0.1
FIRST_HOLD_S = 0.5
# Callers that are refused come back spread over this share of the delay.
RETURN_SPREAD = 0.5
SHORTEST_RETURN_S = 0.1
LONGEST_RETURN_S = 2.0


@attrs.define(eq=False)
class _Queued(placing.QueuedRequest):
    call: calls.Call | None = None
    fut: asyncio.Future | None = None


@attrs.define(eq=False)
class Placement:
    """Places the requests of one entry."""

    cfg: config.DirectConfig
    holder: tables.TableHolder
    runner: fleet_runner.FleetRunner
    loads: placing.Loads
    rng: random.Random
    queue: placing.RequestQueue = attrs.field(factory=placing.RequestQueue)
    _broken_at: dict[str, float] = attrs.field(factory=dict)
    _budgets: dict[str, placing.WindowBudget] = attrs.field(factory=dict)
    _holds: dict[str, float] = attrs.field(
        factory=lambda: collections.defaultdict(lambda: FIRST_HOLD_S)
    )

    async def place(self, call: calls.Call) -> fleet.Upstream:
        """Return the upstream that a request is to be sent to now.

        The send counts as begun: ``done`` must follow.

        Raises:
            CassiashiftError: OVERLOADED or NO_UPSTREAM; nothing was sent.
        """
        self._count_send(call)
        now = time.monotonic()
        chosen = None
        if self.queue.peek(call.service) is None:
            chosen = self._choose(call, now)
        if chosen is None:
            chosen = await self._wait(call, now)
        logs.info(
            'request_placed',
            request=call.id,
            upstream=chosen.id,
            service=call.service,
            route=call.route.name,
            send=len(call.log.attempts) + 1,
            in_flight=self.loads.for_upstream(chosen.id).in_flight,
            waited_s=time.monotonic() - now,
            left_s=call.left_s(),
            configuration=self.holder.version,
        )
        return chosen

    def done(
        self, call: calls.Call, upstream: fleet.Upstream, held_s: float
    ) -> None:
        """Note that a send is over and its place is free."""
        self.loads.for_upstream(upstream.id).ended()
        hold = self._holds[call.service]
        self._holds[call.service] = hold + HOLD_WEIGHT * (held_s - hold)
        self._serve_waiting(call.service)

    def succeeded(self, upstream: fleet.Upstream) -> None:
        """Note a good answer."""
        self.loads.for_upstream(upstream.id).succeeded(time.monotonic())

    def failed(
        self, upstream: fleet.Upstream, failure: exchange.SendFailedError
    ) -> None:
        """Note a send without an answer."""
        now = time.monotonic()
        load = self.loads.for_upstream(upstream.id)
        if failure.at_fault:
            # Another rank of its group is lost.
            self._broken_at[upstream.service] = now
            load.refused(now, GROUP_RETURN_S / 2)
        elif failure.is_refusal:
            load.refused(now, REFUSAL_PAUSE_S)
        else:
            load.failed(now, failure.is_down)

    def tick(self) -> None:
        """Serve who can be served, and refuse who has waited too long."""
        now = time.monotonic()
        for service in self.queue.services():
            self._serve_waiting(service)
        for waiting in self.queue.expired(now):
            waiting.is_over = True
            if not waiting.fut.done():
                waiting.fut.set_exception(
                    self._overloaded(waiting.call, 'waited too long')
                )

    def _count_send(self, call: calls.Call) -> None:
        now = time.monotonic()
        budget = self._budgets.get(call.service)
        if budget is None:
            bounds = self.cfg.bounds
            budget = placing.WindowBudget(
                bounds.repeat_ratio,
                bounds.repeat_slack,
                bounds.repeat_window_s,
            )
            self._budgets[call.service] = budget
        if not call.log.attempts:
            budget.record_first_send(now)
            return
        entries = len(self.runner.records()) + 1
        if not budget.try_spend(entries, now):
            raise CassiashiftError(
                ErrorCode.OVERLOADED,
                'the budget of repeated sends is spent',
                call.log.verdict,
                retry_after_s=self.return_after_s(call),
            )

    def _choose(self, call: calls.Call, now: float) -> fleet.Upstream | None:
        candidates = self.runner.upstreams.accepting(call.service, now)
        limit = self._limit(call.service, candidates)
        chosen = self.loads.choose(candidates, limit, call.log.excluded, now)
        if chosen is not None:
            self.loads.for_upstream(chosen.id).sent(now)
        return chosen

    def _limit(
        self, service_name: str, candidates: list[fleet.Upstream]
    ) -> int:
        """Return the requests that one upstream gets from this entry."""
        service = self._service(service_name)
        if service is not None and service.engine is not None:
            return service.engine.slots
        slots = [upstream.slots for upstream in candidates if upstream.slots]
        return max(slots, default=DEFAULT_SLOTS)

    def _service(self, name: str) -> routes.Service | None:
        table = self.holder.table
        return None if table is None else table.service(name)

    async def _wait(self, call: calls.Call, now: float) -> fleet.Upstream:
        if not self.runner.upstreams.accepting(call.service, now):
            raise self._overloaded(call, 'no upstream is known')
        patience_s = WAIT_SHARE * (call.ends_at - now)
        if call.route.kind is routes.Kind.STREAM:
            patience_s = min(patience_s, STREAM_WAIT_S)
        if self._expected_wait_s(call, now) > patience_s:
            raise self._overloaded(call, 'the queue is too long')
        queued = _Queued(
            call.service,
            call.priority,
            now + patience_s,
            call=call,
            fut=asyncio.get_running_loop().create_future(),
        )
        self.queue.add(queued)
        logs.info(
            'request_queued',
            request=call.id,
            service=call.service,
            ahead=self.queue.count(call.service) - 1,
            patience_s=patience_s,
        )
        try:
            return await queued.fut
        except asyncio.CancelledError:
            _give_back(self.loads, queued.fut)
            raise
        finally:
            queued.is_over = True

    def _expected_wait_s(self, call: calls.Call, now: float) -> float:
        candidates = self.runner.upstreams.accepting(call.service, now)
        if not candidates:
            return 0.0
        places = len(candidates) * self._limit(call.service, candidates)
        ahead = self.queue.count(call.service)
        return ahead * self._holds[call.service] / places

    def _serve_waiting(self, service: str) -> None:
        now = time.monotonic()
        while True:
            waiting = self.queue.peek(service)
            if waiting is None:
                return
            chosen = self._choose(waiting.call, now)
            if chosen is None:
                return
            waiting.is_over = True
            waiting.fut.set_result(chosen)

    def _overloaded(self, call: calls.Call, text: str) -> CassiashiftError:
        now = time.monotonic()
        has_any = self.runner.upstreams.accepting(call.service, now)
        code = ErrorCode.OVERLOADED if has_any else ErrorCode.NO_UPSTREAM
        return CassiashiftError(
            code,
            f'service {call.service}: {text}',
            call.log.verdict,
            retry_after_s=self.return_after_s(call),
        )

    def return_after_s(self, call: calls.Call) -> float:
        """Return when a refused caller should come back, in seconds."""
        now = time.monotonic()
        wait_s = self._expected_wait_s(call, now)
        broken_at = self._broken_at.get(call.service, -GROUP_RETURN_S)
        if now - broken_at < GROUP_RETURN_S:
            wait_s = max(wait_s, GROUP_RETURN_S / (1 + RETURN_SPREAD))
        wait_s = min(max(wait_s, SHORTEST_RETURN_S), LONGEST_RETURN_S)
        wait_s *= 1 + RETURN_SPREAD * self.rng.random()
        longest_s = RETURN_SHARE * (call.deadline_at - now)
        return max(SHORTEST_RETURN_S, min(wait_s, longest_s))


def _give_back(loads: placing.Loads, fut: asyncio.Future) -> None:
    """Free the place that a request was given just before it ended."""
    if fut.done() and not fut.cancelled() and fut.exception() is None:
        loads.for_upstream(fut.result().id).ended()
