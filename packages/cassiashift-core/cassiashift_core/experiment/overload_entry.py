"""A simulated entry that calls the ranks of a group itself."""

import collections
from collections.abc import Callable
import math
import random

import attrs

from cassiashift_core import admission
from cassiashift_core.admission import returns
from cassiashift_core import capacity
from cassiashift_core import costs
from cassiashift_core.experiment import engine as engines
from cassiashift_core.experiment import entry as entries
from cassiashift_core.experiment import overload_model
from cassiashift_core.experiment import overload_rivals
from cassiashift_core import placing
from cassiashift_core import retries
from cassiashift_core import routes

# Today's placing knows the entry's own calls only; the next two know those of
# all entries. All three have the queue by priority and arrival.
OWN_LEAST = 'own_least'
LEAST_IN_FLIGHT = 'least_in_flight'
TWO_CHOICES = 'two_choices'
# The limit from the pauses and the queue of core/admission.
ADMISSION = 'admission'
# The same; a slot that a call of the entry leaves is taken by its next one.
# Slow ranks get what they may run.
OWN_SLOT = 'own_slot'
# OWN_SLOT whose entries don't tell each other whom they told to return.
UNSHARED = 'unshared'
# One entry with this queue, without lag, that knows the speed of the ranks.
IDEAL = 'ideal'
# OWN_SLOT with another limit, without knowledge of slow ranks.
GRADIENT = 'gradient'
AIMD = 'aimd'
# LEAST_IN_FLIGHT that refuses by a threshold of urgency and caller.
DAGOR = 'dagor'
POLICIES = (
    OWN_LEAST,
    LEAST_IN_FLIGHT,
    TWO_CHOICES,
    DAGOR,
    GRADIENT,
    AIMD,
    ADMISSION,
    UNSHARED,
    OWN_SLOT,
    IDEAL,
)
_OWN_SLOT = (UNSHARED, OWN_SLOT, GRADIENT, AIMD)
_MEASURED = (ADMISSION, *_OWN_SLOT)
_LIMITERS = {
    GRADIENT: overload_rivals.GradientLimiter,
    AIMD: overload_rivals.AimdLimiter,
}

DIGEST_INTERVAL_S = 0.15
REFUSAL_PAUSE_S = 0.15
MAX_SENDS = 3
QUEUE_WAIT_SHARE = 0.4
STREAM_QUEUE_WAIT_S = 1.2
RETRY_AFTER_SHARE = 1 / 3
SHORTEST_RETRY_AFTER_S = 0.1
LONGEST_RETRY_AFTER_S = 2.0
RETRY_AFTER_SPREAD = 0.5
ENGINE = routes.Engine(
    slots=overload_model.GROUP.batch,
    step_s=overload_model.GROUP.step_s,
    step_per_request_s=overload_model.GROUP.decode_s,
)


@attrs.define(eq=False)
class Board:
    """What the entries send each other: calls in flight, and their rates.

    Attributes:
        entries: all entries; refused callers return to any of the others.
        ideal_limit: limit per rank that keeps the pauses in the objective.
    """

    alive: list[str] = attrs.field(factory=list)
    in_flight: dict[str, collections.Counter] = attrs.field(factory=dict)
    rates: dict[str, float] = attrs.field(factory=dict)
    ideal_limit: float = 0.0
    entries: list['OverloadEntry'] = attrs.field(factory=list)


@attrs.define(eq=False)
class OverloadEntry:
    """One entry with its policy; has the interface of ``entry.Entry``.

    Attributes:
        send: called with the entry, an attempt to deliver and the time.
        schedule: called with a time and an action to run then.
        slowdowns: those of the slow ranks that the entry knows of.
    """

    id: str
    cfg: overload_model.OverloadConfig
    policy_name: str
    board: Board
    rng: random.Random
    send: Callable
    schedule: Callable
    gate: admission.ServiceGate
    limiter: capacity.ConcurrencyLimiter
    promises: admission.PromiseTable = attrs.field(
        factory=admission.PromiseTable
    )
    dagor: overload_rivals.Dagor = attrs.field(factory=overload_rivals.Dagor)
    records: list[overload_model.CallState] = attrs.field(factory=list)
    in_flight: collections.Counter = attrs.field(factory=collections.Counter)
    slowdowns: dict[str, float] = attrs.field(factory=dict)
    _paused_until: dict[str, float] = attrs.field(factory=dict)
    _waiting: dict[admission.QueuedRequest, overload_model.CallState] = (
        attrs.field(factory=dict)
    )
    _attempts: dict[str, tuple] = attrs.field(factory=dict)
    sizes: costs.RelativeCost = attrs.field(factory=costs.RelativeCost)
    _unsent: list[admission.Promise] = attrs.field(factory=list)
    _published_at: float = -1.0
    # The rank that a request of this entry has left last.
    _freed: str | None = None

    @classmethod
    def create(
        cls,
        id_: str,
        cfg: overload_model.OverloadConfig,
        policy: str,
        board: Board,
        rng: random.Random,
        send: Callable,
        schedule: Callable,
    ) -> 'OverloadEntry':
        """Return an entry with the named policy."""
        gate = admission.ServiceGate.from_rng(rng)
        is_predictive = policy == IDEAL or policy in _MEASURED
        gate.configure(is_predictive, cfg.first_event_s)
        if policy == IDEAL:
            gate.own_share = 1.0
        cls_of_limiter = _LIMITERS.get(policy, capacity.ConcurrencyLimiter)
        limiter = cls_of_limiter(overload_model.GROUP.batch, cfg.pause_s)
        entry = cls(
            id_, cfg, policy, board, rng, send, schedule, gate, limiter
        )
        board.entries.append(entry)
        if policy == OWN_SLOT:
            gate.promised = entry._promised
        return entry

    def offer_call(
        self, call: overload_model.OverloadCall, now: float
    ) -> None:
        """Serve an arriving call."""
        state = overload_model.CallState(call, now)
        self.records.append(state)
        self.sizes.record(_expected_passes(call))
        self._offer(state, now)

    def learn_slowdowns(self, slowdowns: dict[str, float], now: float) -> None:
        """Record which ranks are slow."""
        self.slowdowns = slowdowns

    def tick(self, now: float) -> None:
        """Refuse hopeless calls, start others, update limit and digest."""
        self.limiter.update(now, self.gate.load.hold.mean)
        self.dagor.update(now, self.gate.load.first_event.mean)
        if now - self._published_at >= DIGEST_INTERVAL_S - 1e-9:
            self._published_at = now
            self.board.in_flight[self.id] = self.in_flight.copy()
            self.board.rates[self.id] = self.gate.load.arrival_rate(now)
            self._send_promises()
            self.promises.expire(now)
        for item, _ in list(self.gate.hopeless(self._slots(), now)):
            self._refuse(self._waiting.pop(item), now)
        self._serve(now)

    def move_from_stragglers(self, cancel: Callable, now: float) -> None:
        """Cancel the calls whose callers left or whose deadline is over."""
        for attempt_id, (state, item, rank, sent_at) in list(
            self._attempts.items()
        ):
            age_s = now - state.arrived_at
            is_abandoned = (
                state.first_at is None and age_s > self.cfg.abandon_s
            )
            if is_abandoned or (
                now - state.call.arrives_at > self.cfg.deadline_s
            ):
                cancel(rank, attempt_id)
                del self._attempts[attempt_id]
                self._end_send(item, rank, now - sent_at)

    def is_in_progress(self, attempt_id: str) -> bool:
        """Return whether an attempt is in progress."""
        return attempt_id in self._attempts

    def on_first_token(self, attempt_id: str, now: float) -> None:
        """Record the first event of a stream."""
        state, _, _, sent_at = self._attempts[attempt_id]
        state.first_at = state.newest_at = now
        self.gate.load.first_event.record(now - sent_at)

    def on_progress(self, attempt_id: str, tokens: int, now: float) -> None:
        """Record a further event of a stream."""
        state = self._attempts[attempt_id][0]
        pause_s = now - state.newest_at
        state.longest_pause_s = max(state.longest_pause_s, pause_s)
        state.newest_at = now
        self.limiter.record_pause(id(state), pause_s)

    def on_attempt_end(
        self, attempt_id: str, end: retries.AttemptEnd, now: float
    ) -> None:
        """Record the end of an attempt; try again if none was made."""
        if attempt_id not in self._attempts:
            return
        state, item, rank, sent_at = self._attempts.pop(attempt_id)
        if end is retries.AttemptEnd.ANSWERED:
            state.ended_at = now
        else:
            self._paused_until[rank] = now + REFUSAL_PAUSE_S
        self._end_send(item, rank, now - sent_at)
        is_unsent = (
            end is not retries.AttemptEnd.ANSWERED and state.first_at is None
        )
        if is_unsent and state.sends < MAX_SENDS:
            self._offer(state, now)
        elif is_unsent:
            self._refuse(state, now)
        self._serve(now)

    def _offer(self, state: overload_model.CallState, now: float) -> None:
        call = state.call
        cost = self._cost_of(call)
        self.gate.record_arrival(call.priority, cost, now)
        if self.policy_name == DAGOR and not self.dagor.admits(call):
            self._refuse(state, now)
            return
        item = self._describe(state, now)
        slots = self._slots()
        urgent_s = self.cfg.first_event_s
        if self.gate.may_start(call.priority, urgent_s, slots, now):
            rank = self._choose(now)
            if rank is not None:
                item.arrived_at = now
                self._start(state, item, rank, now)
                return
        if self.gate.offer(item, slots, now):
            self._refuse(state, now)
            return
        self._waiting[item] = state
        self._serve(now)

    def _describe(
        self, state: overload_model.CallState, now: float
    ) -> admission.QueuedRequest:
        left_s = state.call.arrives_at + self.cfg.deadline_s - now
        max_wait_s = min(STREAM_QUEUE_WAIT_S, QUEUE_WAIT_SHARE * left_s)
        workspace, on_time_until = '', float('inf')
        if self.gate.is_predictive:
            workspace = state.call.workspace
            objective_at = state.arrived_at + self.cfg.first_event_s
            on_time_until = objective_at - self.gate.load.first_event_s
        return admission.QueuedRequest(
            workspace,
            state.call.priority,
            self._cost_of(state.call),
            on_time_until,
            now + max_wait_s,
            is_returning=state.is_known,
            is_promised=state.is_known and state.is_promised,
        )

    def _serve(self, now: float) -> None:
        slots = self._slots()
        while self.gate.queue and self.gate.has_room(slots, now):
            rank = self._choose(now)
            if rank is None:
                return
            item = self.gate.pop(now)
            state = self._waiting.pop(item)
            state.queued_s += now - item.arrived_at
            self._start(state, item, rank, now)

    def _start(
        self,
        state: overload_model.CallState,
        item: admission.QueuedRequest,
        rank: str,
        now: float,
    ) -> None:
        self.gate.start(item, now)
        self.in_flight[rank] += 1
        state.sends += 1
        state.started_after_return = state.returned
        attempt_id = f'{state.call.id}.{state.sends}.{state.refused}'
        self._attempts[attempt_id] = (state, item, rank, now)
        attempt = engines.EngineAttempt(
            attempt_id,
            self.id,
            state.call.prompt_tokens,
            (),
            state.call.output_tokens,
        )
        self.send(self, entries.Dispatch(rank, attempt, 0.0), now)

    def _end_send(
        self, item: admission.QueuedRequest, rank: str, held_s: float
    ) -> None:
        self.gate.end(item, held_s)
        self.in_flight[rank] -= 1
        if self.policy_name in _OWN_SLOT:
            self._freed = rank

    def _refuse(self, state: overload_model.CallState, now: float) -> None:
        state.refused += 1
        if state.returned:
            return
        state.returned = True
        item = self._describe(state, now)
        slots = self._slots()
        longest_s = RETRY_AFTER_SHARE * (
            state.call.arrives_at + self.cfg.deadline_s - now
        )
        wait_s = max(
            SHORTEST_RETRY_AFTER_S,
            self.gate.expected_wait_s(item, slots, now),
        )
        wait_s = min(wait_s, LONGEST_RETRY_AFTER_S)
        if self.gate.is_predictive:
            latest_at = now + min(longest_s, LONGEST_RETRY_AFTER_S)
            planned = self.gate.return_at(
                item, now + wait_s, latest_at, slots, now
            )
            return_at = planned.at
            state.is_promised = planned.has_capacity
            self._promise(item, state, planned)
        else:
            wait_s *= 1 + RETRY_AFTER_SPREAD * self.rng.random()
            return_at = now + min(wait_s, longest_s)

        others = [one for one in self.board.entries if one is not self]
        chosen = self.rng.choice(others or [self])

        def come_back(now: float) -> None:
            state.arrived_at = now
            state.sends = 0
            request_id = admission.short_request_id(state.call.id)
            found = chosen.promises.find(request_id, now)
            state.is_known = found is not None
            chosen.promises.discard(request_id)
            chosen._offer(state, now)

        self.schedule(return_at, come_back)

    def _cost_of(self, call: overload_model.OverloadCall) -> float:
        if self.policy_name != OWN_SLOT:
            return 1.0
        return self.sizes.relative(_expected_passes(call))

    def _promise(
        self,
        item: admission.QueuedRequest,
        state: overload_model.CallState,
        planned: returns.ReturnTime,
    ) -> None:
        """Record a promise, to be sent with the next digest."""
        if self.policy_name != OWN_SLOT:
            return
        promise = admission.Promise(
            admission.short_request_id(state.call.id),
            0,
            item.priority,
            item.cost,
            planned.at,
            planned.has_capacity,
        )
        self.promises.add(promise)
        self._unsent.append(promise)

    def _send_promises(self) -> None:
        for entry in self.board.entries:
            for promise in self._unsent:
                if entry is not self:
                    entry.promises.add(promise)
        self._unsent = []

    def _promised(self, priority: int, now: float, until: float) -> float:
        """Return this entry's share of the promised cost."""
        return self._share() * self.promises.due(0, priority, now, until)

    def _limit(self) -> float:
        if self.policy_name == IDEAL:
            return self.board.ideal_limit
        if self.policy_name in _MEASURED:
            return self.limiter.limit
        return float(overload_model.GROUP.batch)

    def _slots(self) -> float:
        slow = self._slow_slots()
        total = placing.total_slots(len(self.board.alive), self._limit(), slow)
        if not self.gate.is_predictive or self.policy_name == IDEAL:
            return total
        return max(1.0, total * self._share())

    def _share(self) -> float:
        own = max(1.0, self.board.rates.get(self.id, 1.0))
        rates = [max(1.0, rate) for rate in self.board.rates.values()]
        return min(1.0, own / max(sum(rates), own))

    def _slow_slots(self) -> dict[str, float]:
        """Return the calls that slow ranks may run."""
        return placing.slow_slots(
            self.board.alive, self._limit(), ENGINE, self.slowdowns
        )

    def _work(self, rank: str) -> int:
        """Return the calls in flight at a rank, as far as the policy knows."""
        if self.policy_name == OWN_LEAST:
            return self.in_flight[rank]
        others = sum(
            counts[rank]
            for name, counts in self.board.in_flight.items()
            if name != self.id
        )
        return self.in_flight[rank] + others

    def _choose(self, now: float) -> str | None:
        ranks = [
            rank
            for rank in self.board.alive
            if self._paused_until.get(rank, 0.0) <= now
        ]
        if self.policy_name == TWO_CHOICES:
            ranks = self.rng.sample(ranks, min(2, len(ranks)))
        work = {rank: self._work(rank) for rank in ranks}
        limit = self._limit()
        open_ranks = [rank for rank in ranks if work[rank] < limit]
        slow = self._slow_slots()
        free = [r for r in open_ranks if work[r] < slow.get(r, limit)]
        free = free or open_ranks
        if not free:
            return None
        freed, self._freed = self._freed, None
        if freed in free:
            return freed
        least = min(work[rank] for rank in free)
        return self.rng.choice([r for r in free if work[r] == least])


def _expected_passes(call: overload_model.OverloadCall) -> float:
    """Return the expected passes of a call; its output is not known."""
    chunks = math.ceil(call.prompt_tokens / overload_model.GROUP.chunk_tokens)
    return chunks + call.expected_tokens
