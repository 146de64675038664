"""Runs every policy in every scenario with the same arrivals."""

import attrs

from cassiashift_core.experiment import arrivals
from cassiashift_core.experiment import measures
from cassiashift_core.experiment import model
from cassiashift_core.experiment import policies
from cassiashift_core.experiment import simulation


def run(cfg: model.ExperimentConfig, seed: int) -> model.ExperimentResult:
    """Run the configured cells; the same seed gives the same result."""
    cells = []
    for scenario in model.SCENARIOS:
        if cfg.scenarios and scenario.name not in cfg.scenarios:
            continue
        for policy in policies.POLICIES:
            if cfg.policies and policy not in cfg.policies:
                continue
            cells.append(run_scenario(cfg, scenario, policy, seed))
    return model.ExperimentResult(seed, tuple(cells))


def run_scenario(
    cfg: model.ExperimentConfig,
    scenario: model.Scenario,
    policy: str,
    seed: int,
) -> model.Cell:
    """Run one policy in one scenario and return its measures."""
    scaled_s = cfg.duration_s * scenario.duration_part
    cfg = attrs.evolve(cfg, duration_s=scaled_s)
    calls = arrivals.generate(cfg, scenario, seed)
    sim = simulation.Simulation.create(cfg, scenario, policy, seed)
    sim.run(calls)
    return measures.measure(
        cfg,
        scenario.name,
        policy,
        sim.entries,
        list(sim.engines.values()),
    )
