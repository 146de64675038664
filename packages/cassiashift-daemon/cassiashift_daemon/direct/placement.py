"""Assigns requests to upstreams."""

import math
import random
import time

import attrs

from cassiashift_core import CassiashiftError
from cassiashift_core import ErrorCode
from cassiashift_core import fleet
from cassiashift_core import placing
from cassiashift_daemon.direct import admission as admissions
from cassiashift_daemon.direct import calls
from cassiashift_daemon.direct import config
from cassiashift_daemon.direct import exchange
from cassiashift_daemon.direct import fleet_runner
from cassiashift_daemon.direct import permit_runner
from cassiashift_daemon.direct import poison_guard
from cassiashift_daemon.direct import tables
from cassiashift_daemon import logs

# An upstream that refused gets no request for this long, which is the mean
# duration of a request at an upstream.
REFUSAL_PAUSE_S = 0.15
TICK_S = 0.05


@attrs.define(eq=False)
class Placement:
    """Assigns the requests of one entry to upstreams."""

    cfg: config.DirectConfig
    holder: tables.TableHolder
    runner: fleet_runner.FleetRunner
    guard: poison_guard.PoisonGuard
    permits: permit_runner.PermitRunner
    rng: random.Random
    admission: admissions.Admission = attrs.field(init=False)
    chooser: placing.Chooser = attrs.field(init=False)
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
            request_permit=self._request_permit,
        )
        self.permits.on_answer = self.admission.use_permit

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
        chosen = self.admission.try_start(call, now)
        if chosen is None:
            chosen = await self.admission.wait(call, now)
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
        self._condition(upstream).record_end()
        self.admission.record_end(call, held_s)
        self.admission.serve_queue(call.service, freed=upstream)

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
        limit = self.admission.in_flight_limit(call.service, candidates)
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

    def _choose_upstream(
        self,
        call: calls.Call,
        now: float,
        preferred: fleet.Upstream | None = None,
    ) -> fleet.Upstream | None:
        candidates = self.runner.upstreams.accepting(call.service, now)
        limit = self.admission.in_flight_limit(call.service, candidates)
        excluded = call.log.excluded
        chosen = None
        if preferred in candidates:
            chosen = self.chooser.choose([preferred], limit, excluded, now)
        if chosen is None:
            chosen = self.chooser.choose(candidates, limit, excluded, now)
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
            self.admission.in_flight_limit(call.service, candidates),
            call.log.excluded,
            now,
            wanted=max(1, self.admission.queued_count(call.service)),
        )
        if limited is not None:
            self.permits.request(limited, patience_s)

    def _condition(self, upstream: fleet.Upstream) -> fleet.Condition:
        return self.runner.upstreams.condition(upstream)
