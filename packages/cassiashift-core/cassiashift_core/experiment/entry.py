"""An entry as the experiment runs it: the core's parts put together."""

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
WANTED_SPARE = 2
End = retries.AttemptEnd

_OUTCOMES = {
    End.ANSWERED: routing.Outcome.OK,
    End.REFUSED_BY_AGENT: routing.Outcome.REFUSED,
}


@attrs.define(eq=False)
class CallRecord:
    """What became of one call.

    Attributes:
        delivered: output tokens that reached the caller.
        broken: an attempt was made, and no whole answer came.
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
class Sent:
    """An attempt on its way to an upstream."""

    upstream_id: str
    work: engine.Work
    move_s: float


@attrs.define(eq=False)
class Entry:
    """One entry with its policy.

    Attributes:
        send: passes an attempt to the wire.
    """

    id: str
    cfg: model.ExperimentConfig
    policy: policies.Policy
    send: Callable[['Entry', Sent, float], None]
    gate: admission.AdmissionGate
    budget: retries.RetryBudget = attrs.field(factory=retries.RetryBudget)
    records: list[CallRecord] = attrs.field(factory=list)
    demand: admission.DemandMeter = attrs.field(
        default=attrs.Factory(
            lambda self: admission.DemandMeter(self.id), takes_self=True
        )
    )
    holder: admission.ShareHolder = attrs.field(
        default=attrs.Factory(
            lambda self: admission.ShareHolder(self.cfg.entries),
            takes_self=True,
        )
    )
    in_flight: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    _waiting: dict[str, CallRecord] = attrs.field(factory=dict)
    _attempts: dict[str, CallRecord] = attrs.field(factory=dict)

    @classmethod
    def create(
        cls,
        index: int,
        cfg: model.ExperimentConfig,
        policy_name: str,
        rng: random.Random,
        send: Callable[['Entry', Sent, float], None],
    ) -> 'Entry':
        """Return an entry with a policy."""
        policy = policies.create(policy_name, cfg, index, rng)
        gate = admission.AdmissionGate.from_config()
        return cls(f'e{index}', cfg, policy, send, gate)

    def arrive(self, call: model.Call, now: float) -> None:
        """Offer a call to admission."""
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
        found = self.gate.offer(req, now)
        if isinstance(found, admission.Refused):
            record.refused = True
            return
        self._waiting[call.id] = record
        if isinstance(found, admission.Admitted):
            self._start([found], now)
            return
        self._refuse(found.evicted)

    def renew_shares(
        self, granter: admission.ShareGranter, now: float
    ) -> None:
        """Ask for shares and weigh workspaces by them."""
        for summary in self.demand.summaries(now):
            self.holder.store_lease(granter.grant_lease(summary, now))
            share = self.holder.weight_share(summary.workspace, now)
            limits = admission.WorkspaceLimits(weight=share)
            self.gate.set_limits(summary.workspace, limits, now)

    def tick(self, now: float) -> None:
        """Give up on late calls and start those that may start."""
        self._refuse(self.gate.expire(now))
        capacity = self.policy.capacity(POOL, now)
        self._start(self.gate.set_capacity(POOL, capacity, now), now)
        self._start(self.gate.admit_ready(now), now)

    def waits_for(self, attempt_id: str) -> bool:
        """Tell whether an attempt has not ended."""
        return attempt_id in self._attempts

    def wanted(self, upstream_id: str) -> int:
        """Return the calls that the entry wants at an upstream."""
        waiting = self.gate.queued_in(POOL) / self.cfg.engines
        own = self.in_flight[upstream_id]
        return own + math.ceil(waiting) + WANTED_SPARE

    def weight(self) -> float:
        """Return the weight of the entry against other entries."""
        return self.gate.active_weight(POOL)

    def first_token(self, attempt_id: str, now: float) -> None:
        """Take the first token of an attempt."""
        record = self._attempts[attempt_id]
        self.policy.record_first_token(attempt_id, now)
        record.plan.record_delivery(1)
        record.delivered += 1
        record.attempt_tokens = 1
        if record.first_token_at is None:
            self.gate.record_first_token(record.call.id, now)
            record.first_token_at = now

    def progress(self, attempt_id: str, tokens: int, now: float) -> None:
        """Take tokens of an attempt."""
        record = self._attempts[attempt_id]
        self.policy.record_progress(attempt_id, tokens, now)
        record.plan.record_delivery(tokens)
        record.delivered += tokens
        record.attempt_tokens += tokens

    def ended(
        self, attempt_id: str, end: retries.AttemptEnd, now: float
    ) -> None:
        """Take the end of an attempt and retry if the plan says so."""
        record = self._attempts.pop(attempt_id, None)
        if record is None:
            return
        outcome = _OUTCOMES.get(end, routing.Outcome.FAILED)
        self.policy.record_finish(attempt_id, outcome, now)
        self.in_flight[record.plan.tried[-1]] -= 1
        decision = record.plan.record_end(end, now)
        if decision.retry and self._attempt(record, now):
            return
        if end is not End.ANSWERED:
            self._give_up(record, now)
            return
        record.finished_at = now
        used = record.call.prompt_tokens + record.delivered
        self._start(self.gate.release(record.call.id, used, now), now)

    def move_from_stragglers(
        self, cancel: Callable[[str, str], None], now: float
    ) -> None:
        """Try calls at stragglers elsewhere, as far as that is allowed."""
        if not isinstance(self.policy, routing.Router):
            return
        for attempt_id in self.policy.attempts_to_move(now):
            record = self._attempts[attempt_id]
            choice = self._choose(record, now)
            if choice is None or record.plan.try_move(now) is None:
                continue
            upstream_id = record.plan.tried[-1]
            cancel(upstream_id, attempt_id)
            del self._attempts[attempt_id]
            self.in_flight[upstream_id] -= 1
            cancelled = routing.Outcome.CANCELLED
            self.policy.record_finish(attempt_id, cancelled, now)
            self._send_to(choice, record, now)

    def _give_up(self, record: CallRecord, now: float) -> None:
        record.broken = True
        used = record.call.prompt_tokens + record.delivered
        self._start(self.gate.release(record.call.id, used, now), now)

    def _start(self, admitted: list[admission.Admitted], now: float) -> None:
        for item in admitted:
            record = self._waiting[item.request_id]
            if self._attempt(record, now):
                del self._waiting[item.request_id]
            else:
                self.gate.requeue(item.request_id, now)

    def _refuse(
        self, refused: list[admission.Refused] | tuple[admission.Refused, ...]
    ) -> None:
        for item in refused:
            self._waiting.pop(item.request_id).refused = True

    def _attempt(self, record: CallRecord, now: float) -> bool:
        """Send an attempt; return whether an upstream was found."""
        choice = self._choose(record, now)
        if choice is None:
            return False
        self._send_to(choice, record, now)
        return True

    def _choose(self, record: CallRecord, now: float) -> routing.Choice | None:
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

    def _send_to(
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
        self.send(self, self._sent(choice, attempt_id, record), now)

    def _sent(
        self, choice: routing.Choice, attempt_id: str, record: CallRecord
    ) -> Sent:
        call = record.call
        work = engine.Work(
            attempt_id,
            self.id,
            call.prompt_tokens + record.delivered,
            call.blocks,
            call.output_tokens - record.delivered,
        )
        if not choice.move_from:
            return Sent(choice.upstream_id, work, 0.0)
        work.moved_blocks = choice.cached_blocks + choice.move_blocks
        settings = self.cfg.engine
        move_s = settings.move_s
        move_s += settings.move_s_per_block * choice.move_blocks
        return Sent(choice.upstream_id, work, move_s)
