"""Runs every policy through every scenario with the same arrivals."""

import attrs

from cassiashift_core.experiment import arrivals
from cassiashift_core.experiment import measures
from cassiashift_core.experiment import model
from cassiashift_core.experiment import policies
from cassiashift_core.experiment import simulation


def run(cfg: model.ExperimentConfig, seed: int) -> model.ExperimentResult:
    """Return all cells; equal seeds give equal results."""
    cells = []
    for scenario in model.SCENARIOS:
        if cfg.scenarios and scenario.name not in cfg.scenarios:
            continue
        for policy in policies.POLICIES:
            if cfg.policies and policy not in cfg.policies:
                continue
            cells.append(run_one(cfg, scenario, policy, seed))
    return model.ExperimentResult(seed, tuple(cells))


def run_one(
    cfg: model.ExperimentConfig,
    scenario: model.Scenario,
    policy: str,
    seed: int,
) -> model.Cell:
    """Return the cell of one policy in one scenario."""
    lasting_s = cfg.duration_s * scenario.duration_part
    cfg = attrs.evolve(cfg, duration_s=lasting_s)
    calls = arrivals.generate(cfg, scenario, seed)
    world = simulation.Simulation.create(cfg, scenario, policy, seed)
    world.run(calls)
    return measures.measure(
        cfg,
        scenario.name,
        policy,
        world.entries,
        list(world.engines.values()),
    )
