"""Discrete-event simulation of one policy in one scenario."""

import functools
import heapq
import random

import attrs

from cassiashift_core import admission
from cassiashift_core import directory
from cassiashift_core.experiment import engine as engines
from cassiashift_core.experiment import entry as entries
from cassiashift_core.experiment import feeds
from cassiashift_core.experiment import model
from cassiashift_core import manifest
from cassiashift_core import retries
from cassiashift_core import routing

TICK_S = 0.05  # period of each entry's timer
NETWORK_DELAY_S = 0.001
SLOTS_PERIOD_S = 0.5
SHARES_PERIOD_S = 1.0
AFTER_ARRIVALS_S = 20.0  # time for the last calls to finish
SLOWDOWN_FACTOR = 10.0
LOST_ENGINE_STRIDE = 3  # every third engine is lost
ENTRY_CALLS_PER_S = 40.0  # rate that one entry can serve


@attrs.define(eq=False)
class Simulation:
    """Engines, entries and the queue of scheduled actions.

    Actions run in the order of their times, those of equal times in the order
    in which they were scheduled.
    """

    cfg: model.ExperimentConfig
    scenario: model.Scenario
    engines: dict[str, engines.Engine]
    entries: list[entries.Entry]
    rng: random.Random
    granter: admission.ShareGranter = attrs.field(
        factory=lambda: admission.ShareGranter(-admission.LEASE_S)
    )
    _queue: list[tuple[float, int, feeds.Action]] = attrs.field(factory=list)
    _sequence: int = 0
    _entry_of_attempt: dict[str, entries.Entry] = attrs.field(factory=dict)

    @classmethod
    def create(
        cls,
        cfg: model.ExperimentConfig,
        scenario: model.Scenario,
        policy: str,
        seed: int,
    ) -> 'Simulation':
        """Return a simulation at time zero."""
        all_engines = {
            f'u{index}': engines.Engine(f'u{index}', cfg.engine)
            for index in range(cfg.engines)
        }
        rng = random.Random(f'{seed} {scenario.name} world')
        simulation = cls(cfg, scenario, all_engines, [], rng)
        for index in range(cfg.entries):
            entry_rng = random.Random(
                f'{seed} {scenario.name} {policy} {index}'
            )
            simulation.entries.append(
                entries.Entry.create(
                    index, cfg, policy, entry_rng, simulation.send
                )
            )
        return simulation

    def run(self, calls: list[model.Call]) -> None:
        """Run until ``AFTER_ARRIVALS_S`` after the end of the arrivals."""
        self._update_upstreams(0.0)
        assigned = self._assign_calls(calls)
        for call, entry in zip(calls, assigned, strict=True):
            offer_call = functools.partial(entry.offer_call, call)
            self._schedule(call.arrives_at, offer_call)
        for entry in self.entries:
            self._schedule(0.0, functools.partial(self._tick, entry))
            renew = functools.partial(self._renew_shares, entry)
            self._schedule(SHARES_PERIOD_S, renew)
        feeds.Feeds(
            self.cfg.engine,
            self.scenario.report_lag_s,
            self.engines,
            self.entries,
            self.rng,
            self._schedule,
        ).start()
        self._schedule_fault()
        self._schedule(self.cfg.warm_up_s, self._discard_warm_up)
        self._run_until(self.cfg.duration_s + AFTER_ARRIVALS_S)

    def send(
        self, entry: entries.Entry, dispatch: entries.Dispatch, now: float
    ) -> None:
        """Schedule the delivery of an attempt to its engine."""
        self._entry_of_attempt[dispatch.attempt.attempt_id] = entry
        dispatch.attempt.ready_at = now + NETWORK_DELAY_S + dispatch.move_s
        deliver = functools.partial(self._deliver_attempt, entry, dispatch)
        self._schedule(now + NETWORK_DELAY_S, deliver)

    def _run_until(self, end: float) -> None:
        while self._queue and self._queue[0][0] < end:
            now, _, action = heapq.heappop(self._queue)
            action(now)

    def _schedule(self, when: float, action: feeds.Action) -> None:
        self._sequence += 1
        heapq.heappush(self._queue, (when, self._sequence, action))

    def _assign_calls(self, calls: list[model.Call]) -> list[entries.Entry]:
        """Return each call's entry, drawn from the directory's answers."""
        lookup = directory.Directory.from_config(None, self.rng)
        views = [directory.EntryView(e.id, e.id) for e in self.entries]
        lookup.update_entries(views, 0.0)
        by_id = {entry.id: entry for entry in self.entries}
        counts: dict[str, int] = {}
        for call in calls:
            counts[call.workspace] = counts.get(call.workspace, 0) + 1
        for workspace, count in counts.items():
            entries_filled = count / self.cfg.duration_s / ENTRY_CALLS_PER_S
            lookup.update_demand(workspace, entries_filled)
        return [
            by_id[
                self.rng.choice(lookup.answer(call.workspace, 0.0).addresses)
            ]
            for call in calls
        ]

    def _update_upstreams(self, now: float) -> None:
        """Update every policy with the current state of the upstreams."""
        views = [
            routing.UpstreamView(
                engine.id,
                offers=(manifest.Offer(model.MODEL),),
                concurrency=self.cfg.engine.concurrency,
                alive=engine.alive,
            )
            for engine in self.engines.values()
        ]
        for entry in self.entries:
            entry.policy.update_upstreams(views, now)

    def _renew_shares(self, entry: entries.Entry, now: float) -> None:
        entry.renew_shares(self.granter, now)
        renew = functools.partial(self._renew_shares, entry)
        self._schedule(now + SHARES_PERIOD_S, renew)

    def _tick(self, entry: entries.Entry, now: float) -> None:
        entry.tick(now)
        entry.move_from_stragglers(self._cancel, now)
        self._exchange_slots(entry, now)
        self._schedule(now + TICK_S, functools.partial(self._tick, entry))

    def _cancel(self, upstream_id: str, attempt_id: str) -> None:
        self.engines[upstream_id].cancel(attempt_id)

    def _exchange_slots(self, entry: entries.Entry, now: float) -> None:
        """Request slots from the agents and receive their grants.

        Each tick covers a part of the agents, so that the entry reaches each
        of them once in ``SLOTS_PERIOD_S``.
        """
        tick = round(now / TICK_S)
        period = round(SLOTS_PERIOD_S / TICK_S)
        for index, engine in enumerate(self.engines.values()):
            if engine.alive and index % period == tick % period:
                self._report_agent_load(entry, engine, now)

    def _deliver_attempt(
        self, entry: entries.Entry, dispatch: entries.Dispatch, now: float
    ) -> None:
        engine = self.engines[dispatch.upstream_id]
        attempt_id = dispatch.attempt.attempt_id
        if not entry.is_in_progress(attempt_id):
            return
        if not engine.alive:
            end = retries.AttemptEnd.CONNECT_FAILED
            failed = functools.partial(entry.on_attempt_end, attempt_id, end)
            self._schedule(now + self.cfg.connect_timeout_s, failed)
        elif not engine.submit(dispatch.attempt):
            end = retries.AttemptEnd.REFUSED_BY_AGENT
            refused = functools.partial(entry.on_attempt_end, attempt_id, end)
            self._report_agent_load(entry, engine, now)
            self._schedule(now + NETWORK_DELAY_S, refused)
        elif not engine.stepping:
            self._begin_step(engine, now)

    def _begin_step(self, engine: engines.Engine, now: float) -> None:
        step_s = engine.begin_step(now)
        engine.stepping = step_s is not None
        if step_s is not None:
            end = functools.partial(self._end_step, engine)
            self._schedule(now + step_s, end)

    def _end_step(self, engine: engines.Engine, now: float) -> None:
        if not engine.alive:
            return
        for event in engine.end_step():
            self._deliver_event(event, now)
            self._report_agent_load(
                self._entry_of_attempt[event.attempt_id], engine, now
            )
        self._begin_step(engine, now)

    def _deliver_event(self, event: engines.StepEvent, now: float) -> None:
        entry = self._entry_of_attempt[event.attempt_id]
        if isinstance(event, engines.FirstToken):
            entry.on_first_token(event.attempt_id, now)
        elif isinstance(event, engines.Progress):
            entry.on_progress(event.attempt_id, event.tokens, now)
        else:
            end = retries.AttemptEnd.ANSWERED
            entry.on_attempt_end(event.attempt_id, end, now)

    @staticmethod
    def _report_agent_load(
        entry: entries.Entry, engine: engines.Engine, now: float
    ) -> None:
        """Report the agent's load and slots, as its replies do, without lag.

        The simple policies use only the lagged reports of the engines.
        """
        if isinstance(entry.policy, routing.Router):
            engine.slots.update(
                entry.id, entry.weight(), entry.wanted_slots(engine.id), now
            )
            report = routing.LoadReport(
                engine.id,
                now,
                len(engine.attempts),
                engine.pending_tokens,
                engine.slots.grant_slots(entry.id, now),
            )
            entry.policy.apply_report(report, now)

    def _schedule_fault(self) -> None:
        if self.scenario.fault == 'slow':
            self._schedule(self.scenario.fault_at_s, self._slow_engine)
        elif self.scenario.fault == 'loss':
            self._schedule(self.scenario.fault_at_s, self._fail_engines)

    def _slow_engine(self, now: float) -> None:
        self.engines['u0'].slowdown = SLOWDOWN_FACTOR

    def _fail_engines(self, now: float) -> None:
        lost_ids = sorted(self.engines)[::LOST_ENGINE_STRIDE]
        end = retries.AttemptEnd.UPSTREAM_DEAD
        for upstream_id in lost_ids:
            for attempt_id in self.engines[upstream_id].fail():
                entry = self._entry_of_attempt[attempt_id]
                broken = functools.partial(
                    entry.on_attempt_end, attempt_id, end
                )
                self._schedule(now + self.cfg.reset_s, broken)
        self._schedule(now + self.cfg.membership_s, self._update_upstreams)

    def _discard_warm_up(self, now: float) -> None:
        for engine in self.engines.values():
            engine.token_gaps.clear()
