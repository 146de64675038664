"""Assigns requests to upstreams."""

import math
import random
import time
from typing import Any

import attrs

from cassiashift_core import CassiashiftError
from cassiashift_core import costs
from cassiashift_core import ErrorCode
from cassiashift_core import fleet
from cassiashift_core import placing
from cassiashift_core import routes
from cassiashift_daemon.direct import admission as admissions
from cassiashift_daemon.direct import calls
from cassiashift_daemon.direct import config
from cassiashift_daemon.direct import exchange
from cassiashift_daemon.direct import fleet_runner
from cassiashift_daemon.direct import permit_runner
from cassiashift_daemon.direct import poison_guard
from cassiashift_daemon.direct import running_work
from cassiashift_daemon.direct import tables
from cassiashift_daemon.direct import workload_runner
from cassiashift_daemon import logs

# An upstream that refused gets no request for this long, which is the mean
# duration of a request at an upstream.
REFUSAL_PAUSE_S = 0.15
TICK_S = 0.05
# Weight of the newest request in the moving average of the ratio of actual to
# expected times at a service.
PACE_WEIGHT = 0.02
TOO_LARGE = 'the prompt does not fit into the memory of an upstream'


@attrs.define(eq=False)
class Placement:
    """Assigns the requests of one entry to upstreams."""

    cfg: config.DirectConfig
    holder: tables.TableHolder
    runner: fleet_runner.FleetRunner
    guard: poison_guard.PoisonGuard
    permits: permit_runner.PermitRunner
    work: workload_runner.WorkloadRunner
    rng: random.Random
    admission: admissions.Admission = attrs.field(init=False)
    chooser: placing.Chooser = attrs.field(init=False)
    estimator: costs.CostEstimator = attrs.field(factory=costs.CostEstimator)
    running: running_work.RunningWork = attrs.field(
        factory=running_work.RunningWork
    )
    _paces: dict[str, float] = attrs.field(factory=dict)
    _placed_at: dict[str, float] = attrs.field(factory=dict)
    _budgets: dict[str, placing.WindowBudget] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Create the chooser of upstreams; listen to permits."""
        self.chooser = placing.Chooser(
            self.runner.upstreams, self.cfg.data_centre, self.rng
        )
        self.admission = admissions.Admission(
            holder=self.holder,
            runner=self.runner,
            chooser=self.chooser,
            guard=self.guard,
            rng=self.rng,
            metrics=self.permits.metrics,
            choose_upstream=self._choose_upstream,
            release_slot=self._release_slot,
            request_permit=self._request_permit,
            expected_time=self._expected_time,
            promises=self.work.promises,
            share_promise=self.work.share_promise,
        )
        self.permits.on_answer = self.admission.use_permit
        self.work.refresh = self.running.refresh

    async def place(self, call: calls.Call) -> fleet.Upstream:
        """Return the upstream for a request, after a wait if needed.

        The request occupies a slot of it until ``release`` is called.

        Raises:
            CassiashiftError: OVERLOADED, NO_UPSTREAM or PROMPT_BLOCKED;
                nothing was sent.
        """
        self.guard.check(call)
        now = time.monotonic()
        self._check_size(call, now)
        self.admission.check_closing(call)
        self._charge_budget(call)
        chosen = self.admission.try_start(call, now)
        if chosen is None:
            chosen = await self.admission.wait(call, now)
            while chosen.data_centre in self.runner.upstreams.evacuated:
                # Evacuated since the queue was served.
                self._release_slot(call, chosen)
                self.admission.record_end(call, None)
                chosen = await self.admission.wait(call, time.monotonic())
            self._check_before_send(call, chosen)
        logs.info(
            'request_placed',
            request=call.id,
            upstream=chosen.id,
            service=call.service,
            route=call.route.name,
            send=len(call.log.attempts) + 1,
            in_flight=self._condition(chosen).in_flight,
            others_in_flight=self._condition(chosen).others_in_flight,
            others_age_s=self._others_age_s(chosen),
            limit_per_s=self._condition(chosen).limit.per_s,
            cold=self._condition(chosen).is_cold(now),
            expected_s=call.cost.time_s.mean,
            expected_prompt=call.cost.prompt_tokens.mean,
            expected_output=call.cost.output_tokens.mean,
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
            self._release_slot(call, upstream)
            self.admission.record_end(call, None)
            self.admission.serve_queue(call.service)
            raise

    def release(
        self, call: calls.Call, upstream: fleet.Upstream, held_s: float
    ) -> None:
        """Release the slot of a send that has ended.

        Args:
            held_s: seconds that the send took.
        """
        self._release_slot(call, upstream)
        self.admission.record_end(call, held_s)
        self.admission.serve_queue(call.service, freed=upstream)

    def may_move(self, call: calls.Call, upstream: fleet.Upstream) -> bool:
        """Return whether a send in progress may go to another upstream now."""
        now = time.monotonic()
        budget = self._budgets.get(call.service)
        entries = len(self.runner.live_records()) + 1
        if (
            not call.log.may_abandon()
            or not self.admission.may_start(call)
            or budget is None
            or not budget.has_room(entries, now)
        ):
            return False
        candidates = self.runner.upstreams.accepting(call.service, now)
        limit = self.admission.in_flight_limit(call.service, candidates)
        excluded = {upstream.id, *call.log.excluded}
        return any(
            candidate.id not in excluded
            and self._condition(candidate).accepts(now)
            and self._condition(candidate).all_in_flight < limit
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
            self.admission.record_group_failure(upstream.service, now)
            condition.record_refusal(now, admissions.GROUP_RECOVERY_S / 2)
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
        self.admission.tick()

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
                retry_after_s=self.admission.retry_after_s(call),
            )

    def snapshot(
        self,
        call: calls.Call,
        now: float,
        candidates: list[fleet.Upstream],
        **fields: Any,
    ) -> placing.Snapshot:
        """Return the snapshot that a request would be placed by.

        Args:
            fields: overrides of fields, such as the random number.
        """
        limit = self.admission.in_flight_limit(call.service, candidates)
        return self.chooser.snapshot(
            candidates,
            limit,
            call.log.excluded,
            now,
            cost=call.cost,
            engine=self.holder.engine(call.service),
            time_left_s=call.ends_at - now,
            **self.work.share_fields(call.service, candidates, limit),
            **fields,
        )

    def _choose_upstream(
        self,
        call: calls.Call,
        now: float,
        preferred: fleet.Upstream | None = None,
    ) -> fleet.Upstream | None:
        candidates = self.runner.upstreams.accepting(call.service, now)
        snapshot = self.snapshot(call, now, candidates)
        chosen = None
        if preferred in candidates:
            # Its slot was this entry's, so no home slots are needed. A slow
            # one is not preferred to others.
            only = self.runner.upstreams.with_conditions([preferred])
            chosen = placing.decide(
                attrs.evolve(
                    snapshot, candidates=only, homes=None, may_use_slow=False
                )
            ).chosen
        if chosen is None:
            chosen = placing.decide(snapshot).chosen
        if chosen is not None:
            condition = self._condition(chosen)
            condition.record_send(now)
            self.running.begin(
                call, self.holder.engine(call.service), condition, now
            )
            self._request_next_permit(call, now)
        return chosen

    def _release_slot(
        self, call: calls.Call, upstream: fleet.Upstream
    ) -> None:
        self.running.end(call)
        self._condition(upstream).record_end()

    def _check_size(self, call: calls.Call, now: float) -> None:
        """Estimate the cost of a request that is placed for the first time.

        Raises:
            CassiashiftError: OVERLOADED; no upstream has the memory.
        """
        if call.cost is not None:
            return
        if not self.estimate(call):
            raise CassiashiftError(ErrorCode.OVERLOADED, TOO_LARGE)

    def estimate(self, call: calls.Call) -> bool:
        """Set the expected cost of a request; return whether it fits."""
        engine = self.holder.engine(call.service)
        call.cost = self.estimator.estimate(_cost_request(call, engine))
        return placing.fits(call.cost, engine)

    def record_cost(
        self, call: calls.Call, upstream: fleet.Upstream, took_s: float
    ) -> dict[str, float]:
        """Learn from an answered request; return its cost for the log."""
        engine = self.holder.engine(call.service)
        output = self.running.output_tokens(call)
        expected_s = self.running.expected_s(call, output)
        req = _cost_request(call, engine)
        self.estimator.record(req, output, took_s)
        pace = self._paces.get(call.service, 1.0)
        if expected_s > 0:
            self._condition(upstream).record_time(took_s, pace * expected_s)
            pace += PACE_WEIGHT * (took_s / expected_s - pace)
            self._paces[call.service] = pace
        metrics = self.permits.metrics
        metrics.record_cost('time', took_s, call.cost.time_s.mean)
        if output:
            metrics.record_cost('output', output, call.cost.output_tokens.mean)
        return {
            'output_tokens': output,
            'expected_output': call.cost.output_tokens.mean,
            'expected_s': call.cost.time_s.mean,
        }

    def _expected_time(self, call: calls.Call) -> costs.Estimate:
        """Return the time of a request at the present pace of its service."""
        time_s = call.cost.time_s
        pace = max(1.0, self._paces.get(call.service, 1.0))
        return attrs.evolve(
            time_s,
            median=pace * time_s.median,
            largest=pace * time_s.largest,
        )

    def _others_age_s(self, upstream: fleet.Upstream) -> float:
        """Return the age of the other entries' work there; -1 if none."""
        others_at = self._condition(upstream).others_at
        return time.monotonic() - others_at if others_at > 0 else -1.0

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
            self.admission.in_flight_limit(call.service, candidates),
            call.log.excluded,
            now,
            wanted=max(1, self.admission.queued_count(call.service)),
        )
        if limited is not None:
            self.permits.request(limited, patience_s)

    def _condition(self, upstream: fleet.Upstream) -> fleet.Condition:
        return self.runner.upstreams.condition(upstream)


def _cost_request(
    call: calls.Call, engine: routes.Engine | None
) -> costs.Request:
    workspace = '' if call.workspace is None else call.workspace.name
    return costs.Request(call.route.name, workspace, call.size, engine)
