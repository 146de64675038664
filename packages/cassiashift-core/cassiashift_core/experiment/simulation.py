"""Runs one policy through one scenario, event by event."""

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

TICK_S = 0.05
NETWORK_S = 0.001
SLOTS_PERIOD_S = 0.5
SHARES_PERIOD_S = 1.0
DRAIN_S = 20.0
SLOWDOWN = 10.0
LOST_PART = 3
ENTRY_RATE = 40.0


@attrs.define(eq=False)
class Simulation:
    """Engines, entries and what is on the way between them."""

    cfg: model.ExperimentConfig
    scenario: model.Scenario
    engines: dict[str, engines.Engine]
    entries: list[entries.Entry]
    rng: random.Random
    granter: admission.ShareGranter = attrs.field(
        factory=lambda: admission.ShareGranter(-admission.LEASE_S)
    )
    _queue: list[tuple[float, int, feeds.Action]] = attrs.field(factory=list)
    _numbers: int = 0
    _owners: dict[str, entries.Entry] = attrs.field(factory=dict)

    @classmethod
    def create(
        cls,
        cfg: model.ExperimentConfig,
        scenario: model.Scenario,
        policy: str,
        seed: int,
    ) -> 'Simulation':
        """Return a simulation at time zero."""
        found = {
            f'u{index}': engines.Engine(f'u{index}', cfg.engine)
            for index in range(cfg.engines)
        }
        rng = random.Random(f'{seed} {scenario.name} world')
        simulation = cls(cfg, scenario, found, [], rng)
        for index in range(cfg.entries):
            child = random.Random(f'{seed} {scenario.name} {policy} {index}')
            simulation.entries.append(
                entries.Entry.create(
                    index, cfg, policy, child, simulation.send
                )
            )
        return simulation

    def run(self, calls: list[model.Call]) -> None:
        """Run until the calls are answered or the time is over."""
        self._announce(0.0)
        owners = self._assign(calls)
        for call, owner in zip(calls, owners, strict=True):
            arrive = functools.partial(owner.arrive, call)
            self._at(call.arrives_at, arrive)
        for owner in self.entries:
            self._at(0.0, functools.partial(self._tick, owner))
            renew = functools.partial(self._renew_shares, owner)
            self._at(SHARES_PERIOD_S, renew)
        feeds.Feeds(
            self.cfg.engine,
            self.scenario.report_lag_s,
            self.engines,
            self.entries,
            self.rng,
            self._at,
        ).start()
        self._plan_fault()
        self._at(self.cfg.warm_up_s, self._forget_warm_up)
        end = self.cfg.duration_s + DRAIN_S
        while self._queue and self._queue[0][0] < end:
            now, _, action = heapq.heappop(self._queue)
            action(now)

    def send(
        self, owner: entries.Entry, sent: entries.Sent, now: float
    ) -> None:
        """Carry an attempt to its engine."""
        self._owners[sent.work.attempt_id] = owner
        sent.work.ready_at = now + NETWORK_S + sent.move_s
        arrive = functools.partial(self._arrive, owner, sent)
        self._at(now + NETWORK_S, arrive)

    def _at(self, when: float, action: feeds.Action) -> None:
        self._numbers += 1
        heapq.heappush(self._queue, (when, self._numbers, action))

    def _assign(self, calls: list[model.Call]) -> list[entries.Entry]:
        """Return the entry of each call, as the directory answers."""
        book = directory.Directory.from_config(None, self.rng)
        views = [directory.EntryView(e.id, e.id) for e in self.entries]
        book.update_entries(views, 0.0)
        names = {owner.id: owner for owner in self.entries}
        counts: dict[str, int] = {}
        for call in calls:
            counts[call.workspace] = counts.get(call.workspace, 0) + 1
        for workspace, count in counts.items():
            filled = count / self.cfg.duration_s / ENTRY_RATE
            book.update_demand(workspace, filled)
        return [
            names[self.rng.choice(book.answer(call.workspace, 0.0).addresses)]
            for call in calls
        ]

    def _announce(self, now: float) -> None:
        """Tell every entry what membership knows."""
        views = [
            routing.UpstreamView(
                engine.id,
                offers=(manifest.Offer(model.MODEL),),
                concurrency=self.cfg.engine.concurrency,
                alive=engine.alive,
            )
            for engine in self.engines.values()
        ]
        for owner in self.entries:
            owner.policy.update_upstreams(views, now)

    def _renew_shares(self, owner: entries.Entry, now: float) -> None:
        owner.renew_shares(self.granter, now)
        renew = functools.partial(self._renew_shares, owner)
        self._at(now + SHARES_PERIOD_S, renew)

    def _tick(self, owner: entries.Entry, now: float) -> None:
        owner.tick(now)
        owner.move_from_stragglers(self._cancel, now)
        self._ask_slots(owner, now)
        self._at(now + TICK_S, functools.partial(self._tick, owner))

    def _cancel(self, upstream_id: str, attempt_id: str) -> None:
        self.engines[upstream_id].cancel(attempt_id)

    def _ask_slots(self, owner: entries.Entry, now: float) -> None:
        """Exchange wants and slots with the agents, in turn."""
        turn = round(now / TICK_S)
        period = round(SLOTS_PERIOD_S / TICK_S)
        for index, engine in enumerate(self.engines.values()):
            if engine.alive and index % period == turn % period:
                self._agent_report(owner, engine, now)

    def _arrive(
        self, owner: entries.Entry, sent: entries.Sent, now: float
    ) -> None:
        engine = self.engines[sent.upstream_id]
        attempt_id = sent.work.attempt_id
        if not owner.waits_for(attempt_id):
            return
        if not engine.alive:
            end = retries.AttemptEnd.CONNECT_FAILED
            failed = functools.partial(owner.ended, attempt_id, end)
            self._at(now + self.cfg.connect_timeout_s, failed)
        elif not engine.submit(sent.work):
            end = retries.AttemptEnd.REFUSED_BY_AGENT
            refused = functools.partial(owner.ended, attempt_id, end)
            self._agent_report(owner, engine, now)
            self._at(now + NETWORK_S, refused)
        elif not engine.stepping:
            self._begin_step(engine, now)

    def _begin_step(self, engine: engines.Engine, now: float) -> None:
        step_s = engine.begin_step(now)
        engine.stepping = step_s is not None
        if step_s is not None:
            end = functools.partial(self._end_step, engine)
            self._at(now + step_s, end)

    def _end_step(self, engine: engines.Engine, now: float) -> None:
        if not engine.alive:
            return
        for event in engine.end_step():
            self._deliver(event, now)
            self._agent_report(self._owners[event.attempt_id], engine, now)
        self._begin_step(engine, now)

    def _deliver(self, event: engines.StepEvent, now: float) -> None:
        owner = self._owners[event.attempt_id]
        if isinstance(event, engines.FirstToken):
            owner.first_token(event.attempt_id, now)
        elif isinstance(event, engines.Progress):
            owner.progress(event.attempt_id, event.tokens, now)
        else:
            end = retries.AttemptEnd.ANSWERED
            owner.ended(event.attempt_id, end, now)

    @staticmethod
    def _agent_report(
        owner: entries.Entry, engine: engines.Engine, now: float
    ) -> None:
        """Report the load that the agent counted, with its reply.

        The simple policies go by the engines' lagged reports alone.
        """
        if isinstance(owner.policy, routing.Router):
            engine.slots.update(
                owner.id, owner.weight(), owner.wanted(engine.id), now
            )
            report = routing.LoadReport(
                engine.id,
                now,
                len(engine.works),
                engine.pending_tokens,
                engine.slots.grant_slots(owner.id, now),
            )
            owner.policy.apply_report(report, now)

    def _plan_fault(self) -> None:
        if self.scenario.fault == 'slow':
            self._at(self.scenario.fault_at_s, self._slow_one)
        elif self.scenario.fault == 'loss':
            self._at(self.scenario.fault_at_s, self._lose_some)

    def _slow_one(self, now: float) -> None:
        self.engines['u0'].slowdown = SLOWDOWN

    def _lose_some(self, now: float) -> None:
        names = sorted(self.engines)[::LOST_PART]
        end = retries.AttemptEnd.UPSTREAM_DEAD
        for name in names:
            for attempt_id in self.engines[name].lose():
                owner = self._owners[attempt_id]
                broken = functools.partial(owner.ended, attempt_id, end)
                self._at(now + self.cfg.reset_s, broken)
        self._at(now + self.cfg.membership_s, self._announce)

    def _forget_warm_up(self, now: float) -> None:
        for engine in self.engines.values():
            engine.gaps.clear()
