"""Queues or refuses the requests that no upstream can take now."""

import asyncio
from collections.abc import Callable
import copy
import math
import random
import time

import attrs

from cassiashift_core import admission as gates
from cassiashift_core import capacity
from cassiashift_core import CassiashiftError
from cassiashift_core import costs
from cassiashift_core import ErrorCode
from cassiashift_core import fleet
from cassiashift_core import placing
from cassiashift_core import routes
from cassiashift_core import Verdict
from cassiashift_daemon.direct import calls
from cassiashift_daemon.direct import fleet_runner
from cassiashift_daemon.direct import metrics
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
# Random share of the delay that is added to it, so that refused callers
# don't all retry at once.
RETRY_AFTER_SPREAD = 0.5
SHORTEST_RETRY_AFTER_S = 0.1
# This entry's share of the load at engines is computed this often; the other
# entries announce their rates once a second.
SHARE_PERIOD_S = 0.5
NO_UPSTREAM = 'no upstream is known'
NO_ROOM = 'all upstreams back off or have reached their limits'
LONGEST_RETRY_AFTER_S = 2.0
EVACUATED = 'all upstreams are in evacuated data centres'
LEAVING = 'this entry stops before the request can be answered'


@attrs.define(eq=False)
class _QueuedCall:
    """A queued request; ``fut`` gets its upstream or the refusal."""

    call: calls.Call
    fut: asyncio.Future


@attrs.define(eq=False)
class Admission:
    """The queues of one entry's requests, and its refusals.

    Attributes:
        choose_upstream: returns the upstream for a request and occupies a
            slot of it; None if none can take it now. Its last argument is
            an upstream that is taken if it can.
        release_slot: releases the slot that ``choose_upstream`` occupied.
        request_permit: requests a permit for a request that can wait for a
            number of seconds.
        promises: what refused callers were promised, by any entry.
        share_promise: sends a promise to the other busy entries.
        expected_time: returns the time that a request takes at an upstream.
        closing: the planned stop of this entry, once it has begun.
    """

    holder: tables.TableHolder
    runner: fleet_runner.FleetRunner
    chooser: placing.Chooser
    guard: poison_guard.PoisonGuard
    rng: random.Random
    metrics: metrics.Metrics
    choose_upstream: Callable[
        [calls.Call, float, fleet.Upstream | None], fleet.Upstream | None
    ]
    release_slot: Callable[[calls.Call, fleet.Upstream], None]
    request_permit: Callable[[calls.Call, float, float], None]
    expected_time: Callable[[calls.Call], costs.Estimate]
    closing: gates.Closing | None = None
    promises: gates.PromiseTable = attrs.field(factory=gates.PromiseTable)
    share_promise: Callable[[gates.Promise], None] = lambda promise: None
    limits: capacity.ServiceLimits = attrs.field(
        factory=capacity.ServiceLimits
    )
    _gates: dict[str, gates.ServiceGate] = attrs.field(factory=dict)
    _waiting: dict[gates.QueuedRequest, _QueuedCall] = attrs.field(
        factory=dict
    )
    _started: dict[calls.Call, gates.QueuedRequest] = attrs.field(factory=dict)
    _sizes: dict[str, costs.RelativeCost] = attrs.field(factory=dict)
    _returned: dict[calls.Call, gates.Promise] = attrs.field(factory=dict)
    _group_failed_at: dict[str, float] = attrs.field(factory=dict)
    _table: routes.RouteTable | None = None
    _share: float = 1.0
    _share_at: float = -SHARE_PERIOD_S

    def try_start(self, call: calls.Call, now: float) -> fleet.Upstream | None:
        """Return an upstream that can take an arrived request now, or None."""
        gate = self._gate(call.service)
        if self._has_known_cost(call):
            self._sizes_of(call.service).record(call.cost.time_s.mean)
        gate.record_arrival(call.priority, self._cost_of(call), now)
        self._note_return(call, now)
        slots = self._slots(call.service, now)
        urgent_s = self._urgent_objective_s(call)
        if not gate.may_start(call.priority, urgent_s, slots, now):
            return None
        chosen = self.choose_upstream(call, now, None)
        if chosen is not None:
            self._start(call, self._describe(call, now), now)
        return chosen

    async def wait(self, call: calls.Call, now: float) -> fleet.Upstream:
        """Return the upstream for a request once one can take it.

        Raises:
            CassiashiftError: OVERLOADED or NO_UPSTREAM; nothing was sent.
        """
        item, reason = self._offer(call, now)
        if reason:
            raise self._refusal(call, reason)
        gate = self._gate(call.service)
        slots = self._slots(call.service, now)
        queued = _QueuedCall(call, asyncio.get_running_loop().create_future())
        self._waiting[item] = queued
        logs.info(
            'request_queued',
            request=call.id,
            service=call.service,
            priority=call.priority,
            ahead=len(gate.queue) - 1,
            patience_s=item.give_up_at - now,
            expected_wait_s=item.expected_wait_s,
            late=item.is_late,
            slots=slots,
            in_flight=gate.in_flight,
            hold_s=gate.load.hold.mean,
        )
        self.serve_queue(call.service)
        try:
            return await queued.fut
        except asyncio.CancelledError:
            self._release_unused(call, queued.fut)
            raise
        finally:
            gate.queue.remove(item)
            self._waiting.pop(item, None)
            self._returned.pop(call, None)

    def serve_queue(
        self, service: str, freed: fleet.Upstream | None = None
    ) -> None:
        """Place the queued requests of a service that upstreams can take.

        Args:
            freed: upstream of which a request of this entry has just left a
                slot. Under overload it is used for the next one: other
                entries don't know yet that it is free.
        """
        gate = self._gate(service)
        if not gate.queue:
            return
        now = time.monotonic()
        if not self.runner.upstreams.accepting(service, now):
            self._refuse_all(service, gate)
            return
        skipped = self._place_queued(service, freed, now)
        for item in reversed(skipped):
            gate.put_back(item)
        if skipped:
            patience_s = skipped[0].give_up_at - now
            self.request_permit(
                self._waiting[skipped[0]].call,
                min(patience_s, fleet.LONGEST_PATIENCE_S),
                now,
            )

    def tick(self) -> None:
        """Place queued requests, and refuse those that can't be in time."""
        now = time.monotonic()
        self._update_limits(now)
        if self.closing is not None:
            self._refuse_unbounded()
        for service, gate in self._gates.items():
            if not gate.queue:
                continue
            self.serve_queue(service)
            slots = self._slots(service, now)
            for item, reason in list(gate.hopeless(slots, now)):
                self._refuse_queued(item, reason)

    def check_closing(self, call: calls.Call) -> None:
        """Refuse a request that may outlast the planned stop of this entry.

        Raises:
            CassiashiftError: OVERLOADED.
        """
        if not self.may_start(call):
            raise self._refusal(call, LEAVING)

    def retry_after_stop_s(self) -> float:
        """Return when a caller may retry that a stopping entry refuses."""
        if self.closing is None:
            return 0.0
        return self.closing.retry_after_s(
            self.runner.is_other_ready(), time.monotonic()
        )

    def may_start(self, call: calls.Call) -> bool:
        """Return whether a send of a request may start during a stop.

        A stream that has begun goes on: no other entry can resume it. A plain
        request that may have run goes on too: a refusal would say that it has
        not, and it gets a final answer before the stop ends.
        """
        if self.closing is None or call.has_begun:
            return True
        is_stream = call.route.kind is routes.Kind.STREAM
        if not is_stream and call.verdict is not Verdict.NOT_RUN:
            return True
        if self.closing.is_bounded(call.ends_at):
            return True
        return not self.runner.is_other_ready() and (
            self.closing.may_start_alone(
                self.expected_time(call), time.monotonic()
            )
        )

    def begin_closing(self, closing: gates.Closing) -> None:
        """Begin a planned stop; refuse queued requests that may outlast it."""
        self.closing = closing
        self._refuse_unbounded()

    def _refuse_unbounded(self) -> None:
        """Refuse the queued requests that may not start in a planned stop."""
        for item, queued in list(self._waiting.items()):
            if not self.may_start(queued.call):
                self._refuse_queued(item, LEAVING)

    def refuse_blocked(self) -> None:
        """Refuse the queued requests that may not be sent any more."""
        for item, queued in list(self._waiting.items()):
            try:
                self.guard.check(queued.call)
            except CassiashiftError as exc:
                self._gate(queued.call.service).queue.remove(item)
                if not queued.fut.done():
                    queued.fut.set_exception(exc)

    def apply_evacuations(self) -> None:
        """Place the queued requests elsewhere, or refuse them at once."""
        for service in list(self._gates):
            self.serve_queue(service)

    def use_permit(self, service: str) -> None:
        """Serve or refuse queued requests after an issuer's answer."""
        self.serve_queue(service)
        now = time.monotonic()
        for item, queued in list(self._waiting.items()):
            call = queued.call
            if call.service != service:
                continue
            if now + self._room_in_s(call, now) > item.give_up_at:
                self._refuse_queued(item, NO_ROOM)

    def queued_count(self, service: str) -> int:
        """Return the number of requests queued for a service."""
        gate = self._gates.get(service)
        return 0 if gate is None else len(gate.queue)

    def preview(
        self,
        call: calls.Call,
        now: float,
        chosen: fleet.Upstream | None,
        rng: random.Random,
    ) -> placing.Admittance:
        """Return what would be done with a request that arrived now.

        Nothing is changed: the request is offered to a copy. This takes time
        in proportion to the queue of its service.

        Args:
            chosen: the upstream that could take it.
            rng: copy of the source of random numbers.
        """
        trial = self._copy(call.service, chosen, rng)
        if trial.try_start(call, now) is not None:
            return placing.Admittance(placing.Outcome.SENT)
        item, reason = trial._offer(call, now)
        if reason:
            return placing.Admittance(
                placing.Outcome.REFUSED,
                reason,
                retry_after_s=trial.retry_after_s(call),
            )
        # The queue is served at once when a request joins it.
        gate = trial._gate(call.service)
        slots = trial._slots(call.service, now)
        if (
            chosen is not None
            and gate.has_room(slots, now)
            and gate.pop(now, slots) is item
        ):
            return placing.Admittance(placing.Outcome.SENT)
        return placing.Admittance(
            placing.Outcome.QUEUED, wait_s=item.expected_wait_s
        )

    def record_end(self, call: calls.Call, held_s: float | None) -> None:
        """Record the end of a send.

        Args:
            held_s: time that the send took; None if nothing was sent.
        """
        item = self._started.pop(call, None)
        if item is not None:
            self._gate(call.service).end(item, held_s)

    def record_first_event(self, call: calls.Call, after_s: float) -> None:
        """Record the time from a send to the first event of its stream."""
        self._gate(call.service).load.first_event.record(after_s)

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
        engine = self.holder.engine(service_name)
        if engine is not None:
            return engine.slots
        slots = [upstream.slots for upstream in candidates if upstream.slots]
        return max(slots, default=DEFAULT_SLOTS)

    def record_pause(self, call: calls.Call, pause_s: float) -> None:
        """Record a pause of a stream that its upstream alone has caused."""
        self.limits.record_pause(call.service, id(call), pause_s)

    def retry_after_s(self, call: calls.Call) -> float:
        """Return the seconds after which a refused caller should retry."""
        now = time.monotonic()
        item = self._describe(call, now)
        item.is_late = False
        gate = self._gate(call.service)
        slots = self._slots(call.service, now)
        wait_s = SHORTEST_RETRY_AFTER_S
        if self.runner.upstreams.accepting(call.service, now):
            wait_s = max(wait_s, gate.expected_wait_s(item, slots, now))
        failed_at = self._group_failed_at.get(call.service, -GROUP_RECOVERY_S)
        if now - failed_at < GROUP_RECOVERY_S:
            wait_s = max(wait_s, GROUP_RECOVERY_S / (1 + RETRY_AFTER_SPREAD))
        if self.runner.upstreams.is_evacuated(call.service):
            # An evacuation lasts for minutes; returns sooner are of no use.
            wait_s = LONGEST_RETRY_AFTER_S
        wait_s = min(wait_s, LONGEST_RETRY_AFTER_S)
        longest_s = RETRY_AFTER_SHARE * (call.deadline_at - now)
        has_capacity = False
        if gate.is_predictive:
            latest_s = min(longest_s, LONGEST_RETRY_AFTER_S)
            planned = gate.return_at(
                item, now + wait_s, now + latest_s, slots, now
            )
            wait_s = planned.at - now
            has_capacity = planned.has_capacity
        else:
            wait_s *= 1 + RETRY_AFTER_SPREAD * self.rng.random()
        room_in_s = self._room_in_s(call, now)
        room_in_s *= 1 + RETRY_AFTER_SPREAD * self.rng.random()
        wait_s = max(SHORTEST_RETRY_AFTER_S, min(wait_s, longest_s), room_in_s)
        self._note_promise(call, now + wait_s, has_capacity)
        return wait_s

    def _copy(
        self,
        service: str,
        chosen: fleet.Upstream | None,
        rng: random.Random,
    ) -> 'Admission':
        """Return a copy, of one service's gate only, that sends nothing."""
        copied = {}
        if service in self._gates:
            # The plan of returns draws from the copy of the random source.
            memo = {id(self.rng): rng}
            copied[service] = copy.deepcopy(self._gates[service], memo)
        return Admission(
            holder=self.holder,
            runner=self.runner,
            chooser=self.chooser,
            guard=self.guard,
            rng=rng,
            metrics=metrics.Metrics(),
            choose_upstream=lambda call, now, preferred: chosen,
            release_slot=lambda call, upstream: None,
            request_permit=lambda call, patience_s, now: None,
            expected_time=self.expected_time,
            closing=self.closing,
            limits=self.limits,
            gates=copied,
            sizes=copy.deepcopy(self._sizes),
            group_failed_at=dict(self._group_failed_at),
            share=self._share,
            share_at=self._share_at,
        )

    def _offer(
        self, call: calls.Call, now: float
    ) -> tuple[gates.QueuedRequest, str]:
        """Queue a request; return it, and the reason if it is refused."""
        item = self._describe(call, now)
        if not self.runner.upstreams.accepting(call.service, now):
            return item, self._no_upstream_reason(call)
        if now + self._room_in_s(call, now) > item.give_up_at:
            return item, NO_ROOM
        slots = self._slots(call.service, now)
        return item, self._gate(call.service).offer(item, slots, now)

    def _gate(self, service: str) -> gates.ServiceGate:
        if self.holder.table is not self._table:
            self._table = self.holder.table
            for name, gate in self._gates.items():
                self._configure(name, gate)
        gate = self._gates.get(service)
        if gate is None:
            gate = gates.ServiceGate.from_rng(self.rng)
            gate.promised = self._promised_to(service)
            self._configure(service, gate)
            self._gates[service] = gate
        return gate

    def _configure(self, service: str, gate: gates.ServiceGate) -> None:
        objective_s = math.inf
        if self._table is not None:
            objective_s = self._table.shortest_objective_s(service)
        gate.configure(self._has_engine(service), objective_s)

    def _promised_to(
        self, service: str
    ) -> Callable[[int, float, float], float]:
        """Return a function for this entry's part of the promised cost."""
        service_id = gates.short_service_id(service)

        # A function rather than a method, so that a copy of the gate refers
        # to the same promises.
        def promised(priority: int, now: float, until: float) -> float:
            cost = self.promises.due(service_id, priority, now, until)
            return cost and cost * self._load_share(now)

        return promised

    def _has_known_cost(self, call: calls.Call) -> bool:
        """Return whether the time of a request follows from its size."""
        engine = self.holder.engine(call.service)
        return call.cost is not None and costs.has_timings(engine)

    def _sizes_of(self, service: str) -> costs.RelativeCost:
        return self._sizes.setdefault(service, costs.RelativeCost())

    def _cost_of(self, call: calls.Call) -> float:
        """Return the cost units of a request; 1 if its cost is not known."""
        if not self._has_known_cost(call):
            return 1.0
        return self._sizes_of(call.service).relative(call.cost.time_s.mean)

    def _has_engine(self, service_name: str) -> bool:
        return self.holder.engine(service_name) is not None

    def _describe(self, call: calls.Call, now: float) -> gates.QueuedRequest:
        """Return what the gate of its service has to know of a request."""
        max_wait_s = QUEUE_WAIT_SHARE * (call.ends_at - now)
        is_stream = call.route.kind is routes.Kind.STREAM
        on_time_until, workspace = math.inf, ''
        has_engine = self._has_engine(call.service)
        if has_engine:
            load = self._gate(call.service).load
            hold_s = max(0.0, load.hold.mean - load.hold.deviation)
            max_wait_s = max(max_wait_s, call.ends_at - now - hold_s)
            answer_s = load.first_event_s if is_stream else load.hold.mean
            if call.workspace is not None:
                workspace = call.workspace.name
            # The first event of a resumed stream has been sent already.
            if call.route.objective_s and not call.send_events:
                objective_at = call.arrived_at + call.route.objective_s
                on_time_until = objective_at - answer_s
        if is_stream:
            max_wait_s = min(max_wait_s, STREAM_QUEUE_WAIT_S)
        # Services without an engine are served by arrival only.
        promise = self._returned.get(call) if has_engine else None
        return gates.QueuedRequest(
            workspace,
            call.priority,
            self._cost_of(call),
            on_time_until,
            now + max_wait_s,
            is_returning=promise is not None,
            is_promised=promise is not None and promise.has_capacity,
            urgent_s=self._urgent_objective_s(call),
        )

    def _urgent_objective_s(self, call: calls.Call) -> float:
        """Return the shortest objective of more urgent routes of a service."""
        table = self.holder.table
        if table is None or not self._has_engine(call.service):
            return math.inf
        return table.shortest_objective_s(call.service, call.priority)

    def _slots(self, service: str, now: float) -> float:
        """Return the requests that this entry can expect to have in flight.

        They are its share, by rate, of what all upstreams may have in flight.
        """
        candidates = self.runner.upstreams.accepting(service, now)
        limit = self.in_flight_limit(service, candidates)
        slow = self._slow_slots(service, candidates, limit, now)
        total = placing.total_slots(len(candidates), limit, slow)
        if self._has_engine(service):
            total *= self._load_share(now)
        return max(1.0, total)

    def _slow_slots(
        self,
        service_name: str,
        candidates: list[fleet.Upstream],
        limit: float,
        now: float,
    ) -> dict[str, float]:
        """Return what the slow upstreams of a service may run, by id."""
        factors = self.runner.upstreams.slow_factors(now)
        if not factors:
            return {}
        engine = self.holder.engine(service_name)
        ids = [upstream.id for upstream in candidates]
        return placing.slow_slots(ids, limit, engine, factors)

    def _load_share(self, now: float) -> float:
        if now - self._share_at >= SHARE_PERIOD_S:
            own = max(1.0, self.runner.engine_requests_per_s)
            others = sum(
                record.engine_requests_per_s
                for record in self.runner.live_records()
            )
            self._share = own / (own + others)
            self._share_at = now
        return self._share

    def _start(
        self, call: calls.Call, item: gates.QueuedRequest, now: float
    ) -> None:
        self._gate(call.service).start(item, now)
        self._started[call] = item
        if self._returned.pop(call, None) is not None:
            self.metrics.record_return('placed')

    def _start_queued(
        self, item: gates.QueuedRequest, upstream: fleet.Upstream, now: float
    ) -> None:
        queued = self._waiting[item]
        waited_s = now - item.arrived_at
        self.metrics.record_queue_wait(item.priority, waited_s)
        self._start(queued.call, item, now)
        queued.fut.set_result(upstream)

    def _note_promise(
        self, call: calls.Call, at: float, has_capacity: bool
    ) -> None:
        self.metrics.record_return('promised')
        promise = gates.Promise(
            gates.short_request_id(call.identity),
            gates.short_service_id(call.service),
            call.priority,
            self._cost_of(call),
            at,
            has_capacity,
        )
        self.promises.add(promise)
        if self._has_engine(call.service):
            self.share_promise(promise)

    def _note_return(self, call: calls.Call, now: float) -> None:
        """Record that a caller has returned, if one was asked to."""
        if call.log.attempts:
            return
        request_id = gates.short_request_id(call.identity)
        promise = self.promises.find(request_id, now)
        if promise is None:
            return
        self.promises.discard(request_id)
        self._returned[call] = promise
        self.metrics.record_return('returned')
        logs.info(
            'caller_returned',
            request=call.id,
            service=call.service,
            priority=call.priority,
            after_promise_s=now - promise.return_at,
            has_capacity=promise.has_capacity,
        )

    def _update_limits(self, now: float) -> None:
        table = self.holder.table
        if table is None:
            return
        self.limits.apply_table(table)

        def hold_s(service: str) -> float:
            return self._gate(service).load.hold.mean

        for service, before in self.limits.update(now, hold_s):
            limiter = self.limits.limiters[service]
            self.metrics.record_limit(service, limiter.limit)
            logs.info(
                'concurrency_limit_changed',
                service=service,
                limit=limiter.limit,
                before=before,
                pause_s=limiter.pause_s,
                objective_s=limiter.objective_s,
                slots=limiter.slots,
                hold_s=hold_s(service),
            )

    def _place_queued(
        self, service: str, freed: fleet.Upstream | None, now: float
    ) -> list[gates.QueuedRequest]:
        """Place queued requests; return those that no upstream can take."""
        gate = self._gate(service)
        slots = self._slots(service, now)
        if not gate.is_overloaded(slots, now):
            freed = None
        skipped = []
        while gate.has_room(slots, now):
            item = gate.pop(now, slots)
            if item is None:
                break
            queued = self._waiting[item]
            if queued.fut.done():
                continue
            chosen = self.choose_upstream(queued.call, now, freed)
            freed = None
            if chosen is not None:
                self._start_queued(item, chosen, now)
                continue
            skipped.append(item)
            if not queued.call.log.excluded:
                # No upstream can take any request of the service.
                break
        return skipped

    def _refuse_all(self, service: str, gate: gates.ServiceGate) -> None:
        """Refuse all queued requests of a service without upstreams."""
        items = gate.queue.in_order(time.monotonic())
        for item in items:
            call = self._waiting[item].call
            self._refuse_queued(item, self._no_upstream_reason(call))
        logs.warning(
            'queue_refused',
            service=service,
            refused=len(items),
            evacuated=','.join(sorted(self.runner.upstreams.evacuated)),
        )

    def _no_upstream_reason(self, call: calls.Call) -> str:
        """Return why a request is refused while no upstream is left."""
        if self.runner.upstreams.is_evacuated(call.service):
            return EVACUATED
        return NO_UPSTREAM

    def _refuse_queued(self, item: gates.QueuedRequest, reason: str) -> None:
        queued = self._waiting[item]
        self._gate(queued.call.service).queue.remove(item)
        if not queued.fut.done():
            queued.fut.set_exception(self._refusal(queued.call, reason))

    def _refusal(self, call: calls.Call, reason: str) -> CassiashiftError:
        now = time.monotonic()
        has_any = self.runner.upstreams.accepting(call.service, now)
        code = ErrorCode.OVERLOADED if has_any else ErrorCode.NO_UPSTREAM
        if reason == LEAVING:
            retry_after_s = self.retry_after_stop_s()
        else:
            retry_after_s = self.retry_after_s(call)
        self.metrics.record_refusal(reason, call.priority)
        if self._returned.pop(call, None) is not None:
            self.metrics.record_return('refused')
        gate = self._gate(call.service)
        logs.info(
            'request_refused',
            request=call.id,
            service=call.service,
            priority=call.priority,
            reason=reason,
            retry_after_s=retry_after_s,
            waited_s=now - call.arrived_at,
            queued=len(gate.queue),
            in_flight=gate.in_flight,
            slots=self._slots(call.service, now),
            hold_s=gate.load.hold.mean,
            first_event_s=gate.load.first_event_s,
            arrivals_per_s=gate.load.arrival_rate(now),
            error=gate.load.error,
        )
        return CassiashiftError(
            code,
            f'service {call.service}: {reason}',
            call.log.verdict,
            retry_after_s=retry_after_s,
        )

    def _room_in_s(self, call: calls.Call, now: float) -> float:
        """Return the seconds until an upstream's pause or limit has room."""
        candidates = self.runner.upstreams.accepting(call.service, now)
        return self.chooser.room_in_s(candidates, now)

    def _release_unused(self, call: calls.Call, fut: asyncio.Future) -> None:
        """Release the slot of a placed request that was cancelled."""
        if fut.done() and not fut.cancelled() and fut.exception() is None:
            self.release_slot(call, fut.result())
            self.record_end(call, None)
