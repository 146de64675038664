"""Runs the policies under overload of a lock-step group."""

from collections.abc import Iterable
import functools
import random

import attrs

from cassiashift_core.capacity import limiter
from cassiashift_core.experiment import engine as engines
from cassiashift_core.experiment import model
from cassiashift_core.experiment import overload_arrivals
from cassiashift_core.experiment import overload_entry
from cassiashift_core.experiment import overload_measures
from cassiashift_core.experiment import overload_model
from cassiashift_core.experiment import simulation
from cassiashift_core import retries

SLOWDOWN = 4.0
# Age of the engine's report when its agent reads it, and the time until all
# entries know of a change then.
REPORT_S = 0.5
SPREAD_S = 0.3


@attrs.define(eq=False)
class GroupSimulation(simulation.Simulation):
    """A simulation whose engines are ranks that run each pass together."""

    shape: overload_model.OverloadShape = overload_model.SHAPES[0]
    size: overload_model.OverloadConfig = overload_model.OverloadConfig()
    board: overload_entry.Board = attrs.field(factory=overload_entry.Board)
    rng_name: str = ''
    _is_stepping: bool = False

    @classmethod
    def for_policy(
        cls,
        cfg: overload_model.OverloadConfig,
        shape: overload_model.OverloadShape,
        policy: str,
        seed: int,
    ) -> 'GroupSimulation':
        """Return a simulation at time zero."""
        ranks = {
            f'u{number}': engines.Engine(f'u{number}', overload_model.GROUP)
            for number in range(cfg.ranks)
        }
        base = model.ExperimentConfig(duration_s=cfg.duration_s)
        name = f'{seed} {shape.name} {policy}'
        rng = random.Random(name)
        sim = cls(
            base,
            model.SCENARIOS[0],
            ranks,
            [],
            rng,
            shape=shape,
            size=cfg,
            rng_name=name,
        )
        count = 1 if policy == overload_entry.IDEAL else cfg.entries
        for number in range(count):
            sim.entries.append(
                overload_entry.OverloadEntry.create(
                    f'e{number}',
                    cfg,
                    policy,
                    sim.board,
                    random.Random(rng.random()),
                    sim.send,
                    sim._schedule,
                )
            )
        sim._set_speed(1.0, 0.0)
        return sim

    def run(self, calls: list[overload_model.OverloadCall]) -> None:
        """Run until the last deadline."""
        for call in calls:
            entry = self.entries[call.entry % len(self.entries)]
            self._schedule(
                call.arrives_at, functools.partial(entry.offer_call, call)
            )
        for entry in self.entries:
            self._schedule(0.0, functools.partial(self._tick, entry))
        start, end = self.size.disturbed_from_s, self.size.disturbed_until_s
        if self.shape.slow:
            slow = functools.partial(self._set_speed, SLOWDOWN)
            self._schedule(start, slow)
            self._schedule(end, functools.partial(self._set_speed, 1.0))
        if self.shape.lost:
            self._schedule(start, self._lose_ranks)
        self._run_until(self.size.duration_s + self.size.deadline_s)

    def _exchange_slots(
        self, entry: overload_entry.OverloadEntry, now: float
    ) -> None:
        """Do nothing: the group has no agents."""

    @staticmethod
    def _report_agent_load(*_: object) -> None:
        """Do nothing: the group has no agents."""

    def _set_speed(self, slowdown: float, now: float) -> None:
        ranks = list(self.engines.values())
        for rank in ranks[: self.shape.slow]:
            rank.slowdown = slowdown
        self.board.alive = [rank.id for rank in ranks if rank.alive]
        target_s = limiter.TARGET_SHARE * self.size.pause_s / slowdown
        cfg = overload_model.GROUP
        limit = (target_s - cfg.step_s) / cfg.decode_s
        self.board.ideal_limit = min(cfg.batch, max(1.0, limit))
        self._report_speed(now)

    def _report_speed(self, now: float) -> None:
        """Let the entries learn of the slow ranks after some delay."""
        slowdowns = {
            rank.id: rank.slowdown
            for rank in self.engines.values()
            if rank.slowdown > 1
        }
        # A source of its own leaves the draws of the other policies as is.
        rng = random.Random(f'{now} {self.rng_name}')
        reported_at = now + REPORT_S * rng.random()
        for entry in self.entries:
            if entry.policy_name == overload_entry.OWN_SLOT:
                self._schedule(
                    reported_at + SPREAD_S * rng.random(),
                    functools.partial(entry.learn_slowdowns, slowdowns),
                )

    def _lose_ranks(self, now: float) -> None:
        lost = list(self.engines)[: self.shape.lost]
        for rank in lost:
            for attempt_id in self.engines[rank].fail():
                entry = self._entry_of_attempt[attempt_id]
                end = retries.AttemptEnd.UPSTREAM_DEAD
                broken = functools.partial(
                    entry.on_attempt_end, attempt_id, end
                )
                self._schedule(now + self.cfg.reset_s, broken)
        detect = functools.partial(self._set_speed, 1.0)
        self._schedule(now + self.cfg.reset_s, detect)

    def _begin_step(self, engine: engines.Engine, now: float) -> None:
        if self._is_stepping:
            return
        alive = [rank for rank in self.engines.values() if rank.alive]
        steps = [rank.begin_step(now) for rank in alive]
        stepping = [
            rank
            for rank, step_s in zip(alive, steps, strict=True)
            if step_s is not None
        ]
        if not stepping:
            return
        self._is_stepping = True
        pass_s = max(step_s for step_s in steps if step_s is not None)
        pass_s = max(pass_s, *(rank.idle_step_s for rank in alive))
        end = functools.partial(self._end_pass, stepping)
        self._schedule(now + pass_s, end)

    def _end_pass(self, ranks: list[engines.Engine], now: float) -> None:
        self._is_stepping = False
        for rank in ranks:
            if not rank.alive:
                continue
            for event in rank.end_step():
                self._deliver_event(event, now)
        self._begin_step(ranks[0], now)


def run(
    cfg: overload_model.OverloadConfig,
    seeds: Iterable[int],
    shapes: Iterable[str] = (),
    policies: Iterable[str] = (),
) -> list[overload_model.OverloadCell]:
    """Run the named shapes and policies, or all, with the same arrivals."""
    shapes, policies, seeds = set(shapes), set(policies), list(seeds)
    cells = []
    for shape in overload_model.SHAPES:
        if shapes and shape.name not in shapes:
            continue
        for policy in overload_entry.POLICIES:
            if policies and policy not in policies:
                continue
            states = [
                state
                for seed in seeds
                for state in run_seed(cfg, shape, policy, seed)
            ]
            cells.append(
                overload_measures.measure(cfg, shape.name, policy, states)
            )
    return cells


def run_seed(
    cfg: overload_model.OverloadConfig,
    shape: overload_model.OverloadShape,
    policy: str,
    seed: int,
) -> list[overload_model.CallState]:
    """Run one policy under one load; return the states of all calls."""
    calls = overload_arrivals.generate(cfg, shape, seed)
    sim = GroupSimulation.for_policy(cfg, shape, policy, seed)
    sim.run(calls)
    return [state for entry in sim.entries for state in entry.records]
