"""A simulated entry, composed of the core's admission, routing and retries."""

import collections
from collections.abc import Callable
import math
import random

import attrs

from cassiashift_core import admission
from cassiashift_core.experiment import engine
from cassiashift_core.experiment import model
from cassiashift_core.experiment import policies
from cassiashift_core import retries
from cassiashift_core import routing

POOL = routing.RouteRequest('', model=model.MODEL).pool
SPARE_SLOTS = 2
End = retries.AttemptEnd

_OUTCOMES = {
    End.ANSWERED: routing.Outcome.OK,
    End.REFUSED_BY_AGENT: routing.Outcome.REFUSED,
}


@attrs.define(eq=False)
class CallRecord:
    """The progress and the outcome of one call.

    Attributes:
        delivered: output tokens that reached the caller.
        attempt_tokens: those of the current attempt.
        refused: the call was refused before any attempt.
        broken: the call failed after an attempt.
    """

    call: model.Call
    plan: retries.AttemptPlan
    delivered: int = 0
    attempt_tokens: int = 0
    first_token_at: float | None = None
    finished_at: float | None = None
    refused: bool = False
    broken: bool = False


@attrs.frozen
class Dispatch:
    """An attempt on its way to an upstream.

    Attributes:
        move_s: time that the move of cached blocks takes, 0 without one.
    """

    upstream_id: str
    attempt: engine.EngineAttempt
    move_s: float


@attrs.define(eq=False)
class Entry:
    """One entry with its policy.

    Attributes:
        send: called with the entry, an attempt to deliver and the time.
        in_flight: attempts in progress by upstream.
    """

    id: str
    cfg: model.ExperimentConfig
    policy: policies.Policy
    send: Callable[['Entry', Dispatch, float], None]
    gate: admission.AdmissionGate
    budget: retries.RetryBudget = attrs.field(factory=retries.RetryBudget)
    records: list[CallRecord] = attrs.field(factory=list)
    demand: admission.DemandMeter = attrs.field(
        default=attrs.Factory(
            lambda self: admission.DemandMeter(self.id), takes_self=True
        )
    )
    share_holder: admission.ShareHolder = attrs.field(
        default=attrs.Factory(
            lambda self: admission.ShareHolder(self.cfg.entries),
            takes_self=True,
        )
    )
    in_flight: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    _queued: dict[str, CallRecord] = attrs.field(factory=dict)
    _attempts: dict[str, CallRecord] = attrs.field(factory=dict)

    @classmethod
    def create(
        cls,
        index: int,
        cfg: model.ExperimentConfig,
        policy_name: str,
        rng: random.Random,
        send: Callable[['Entry', Dispatch, float], None],
    ) -> 'Entry':
        """Return an entry with the named policy."""
        policy = policies.create(policy_name, cfg, index, rng)
        gate = admission.AdmissionGate.from_config()
        return cls(f'e{index}', cfg, policy, send, gate)

    def offer_call(self, call: model.Call, now: float) -> None:
        """Offer an arriving call to admission and start it if admitted."""
        traits = retries.CallTraits(idempotent=True, resumable=True)
        record = CallRecord(call, retries.AttemptPlan(traits, self.budget))
        self.records.append(record)
        req = admission.AdmissionRequest(
            call.id,
            call.workspace,
            POOL,
            call.prompt_tokens + call.expected_tokens,
        )
        self.demand.record_call(call.workspace, req.tokens)
        answer = self.gate.offer(req, now)
        if isinstance(answer, admission.Refused):
            record.refused = True
            return
        self._queued[call.id] = record
        if isinstance(answer, admission.Admitted):
            self._start_admitted([answer], now)
            return
        self._mark_refused(answer.evicted)

    def renew_shares(
        self, granter: admission.ShareGranter, now: float
    ) -> None:
        """Renew the leases on workspace shares and apply them as weights."""
        for summary in self.demand.finish_period(now):
            self.share_holder.store_lease(granter.grant_lease(summary, now))
            share = self.share_holder.weight_share(summary.workspace, now)
            limits = admission.WorkspaceLimits(weight=share)
            self.gate.set_limits(summary.workspace, limits, now)

    def tick(self, now: float) -> None:
        """Refuse expired calls and start those that admission now admits."""
        self._mark_refused(self.gate.expire(now))
        capacity = self.policy.capacity(POOL, now)
        self._start_admitted(self.gate.set_capacity(POOL, capacity, now), now)
        self._start_admitted(self.gate.admit_ready(now), now)

    def is_in_progress(self, attempt_id: str) -> bool:
        """Return whether an attempt is in progress."""
        return attempt_id in self._attempts

    def wanted_slots(self, upstream_id: str) -> int:
        """Return the slots that the entry requests from an upstream's agent.

        These are its attempts there, an even share of the queued calls and
        ``SPARE_SLOTS``.
        """
        queued = self.gate.queued_in(POOL) / self.cfg.engines
        in_progress = self.in_flight[upstream_id]
        return in_progress + math.ceil(queued) + SPARE_SLOTS

    def weight(self) -> float:
        """Return the entry's weight relative to other entries."""
        return self.gate.active_weight(POOL)

    def on_first_token(self, attempt_id: str, now: float) -> None:
        """Record the first token of an attempt."""
        record = self._attempts[attempt_id]
        self.policy.record_first_token(attempt_id, now)
        record.plan.record_delivery(1)
        record.delivered += 1
        record.attempt_tokens = 1
        if record.first_token_at is None:
            self.gate.record_first_token(record.call.id, now)
            record.first_token_at = now

    def on_progress(self, attempt_id: str, tokens: int, now: float) -> None:
        """Record further tokens of an attempt."""
        record = self._attempts[attempt_id]
        self.policy.record_progress(attempt_id, tokens, now)
        record.plan.record_delivery(tokens)
        record.delivered += tokens
        record.attempt_tokens += tokens

    def on_attempt_end(
        self, attempt_id: str, end: retries.AttemptEnd, now: float
    ) -> None:
        """Record the end of an attempt and retry if the plan allows it.

        An attempt that was cancelled before is ignored.
        """
        record = self._attempts.pop(attempt_id, None)
        if record is None:
            return
        outcome = _OUTCOMES.get(end, routing.Outcome.FAILED)
        self.policy.record_finish(attempt_id, outcome, now)
        self.in_flight[record.plan.tried[-1]] -= 1
        decision = record.plan.record_end(end, now)
        if decision.retry and self._try_start(record, now):
            return
        if end is not End.ANSWERED:
            self._fail_call(record, now)
            return
        record.finished_at = now
        used_tokens = record.call.prompt_tokens + record.delivered
        self._start_admitted(
            self.gate.release(record.call.id, used_tokens, now), now
        )

    def move_from_stragglers(
        self, cancel: Callable[[str, str], None], now: float
    ) -> None:
        """Move calls from stragglers, as far as their plans allow.

        Only the router does this; other policies leave calls where they are.

        Args:
            cancel: called with the upstream and the attempt to cancel.
            now: the time in seconds.
        """
        if not isinstance(self.policy, routing.Router):
            return
        for attempt_id in self.policy.attempts_to_move(now):
            record = self._attempts[attempt_id]
            choice = self._choose_upstream(record, now)
            if choice is None or record.plan.try_move(now) is None:
                continue
            upstream_id = record.plan.tried[-1]
            cancel(upstream_id, attempt_id)
            del self._attempts[attempt_id]
            self.in_flight[upstream_id] -= 1
            cancelled = routing.Outcome.CANCELLED
            self.policy.record_finish(attempt_id, cancelled, now)
            self._start_attempt(choice, record, now)

    def _fail_call(self, record: CallRecord, now: float) -> None:
        record.broken = True
        used_tokens = record.call.prompt_tokens + record.delivered
        self._start_admitted(
            self.gate.release(record.call.id, used_tokens, now), now
        )

    def _start_admitted(
        self, admitted: list[admission.Admitted], now: float
    ) -> None:
        for item in admitted:
            record = self._queued[item.request_id]
            if self._try_start(record, now):
                del self._queued[item.request_id]
            else:
                self.gate.requeue(item.request_id, now)

    def _mark_refused(
        self, refused: list[admission.Refused] | tuple[admission.Refused, ...]
    ) -> None:
        for item in refused:
            self._queued.pop(item.request_id).refused = True

    def _try_start(self, record: CallRecord, now: float) -> bool:
        """Start an attempt; return whether an upstream was found."""
        choice = self._choose_upstream(record, now)
        if choice is None:
            return False
        self._start_attempt(choice, record, now)
        return True

    def _choose_upstream(
        self, record: CallRecord, now: float
    ) -> routing.Choice | None:
        call = record.call
        req = routing.RouteRequest(
            call.id,
            call.workspace,
            model.MODEL,
            prompt_tokens=call.prompt_tokens + record.delivered,
            expected_tokens=call.expected_tokens,
            prefix_blocks=call.blocks,
        )
        choice = self.policy.choose(req, now, set(record.plan.tried))
        return choice if isinstance(choice, routing.Choice) else None

    def _start_attempt(
        self, choice: routing.Choice, record: CallRecord, now: float
    ) -> None:
        call = record.call
        record.plan.begin_attempt(choice.upstream_id)
        self.in_flight[choice.upstream_id] += 1
        attempt_id = f'{call.id}.{record.plan.attempts}'
        self._attempts[attempt_id] = record
        tokens = call.prompt_tokens + record.delivered
        self.policy.record_start(
            choice.upstream_id, attempt_id, tokens, now, choice
        )
        self.send(self, self._build_dispatch(choice, attempt_id, record), now)

    def _build_dispatch(
        self, choice: routing.Choice, attempt_id: str, record: CallRecord
    ) -> Dispatch:
        call = record.call
        attempt = engine.EngineAttempt(
            attempt_id,
            self.id,
            call.prompt_tokens + record.delivered,
            call.blocks,
            call.output_tokens - record.delivered,
        )
        if not choice.move_from:
            return Dispatch(choice.upstream_id, attempt, 0.0)
        attempt.moved_blocks = choice.cached_blocks + choice.move_blocks
        engine_cfg = self.cfg.engine
        move_s = engine_cfg.move_s
        move_s += engine_cfg.move_s_per_block * choice.move_blocks
        return Dispatch(choice.upstream_id, attempt, move_s)
