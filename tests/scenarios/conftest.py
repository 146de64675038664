"""Shared fixtures and steps of the scenarios."""

import attrs
import pytest
from pytest_bdd import parsers
from pytest_bdd import when

from tests.scenarios import network
from tests.scenarios import tracing


@attrs.define
class World:
    """State that the steps of one scenario share.

    Attributes:
        recorder: records the status changes that members report.
    """

    net: network.Network | None = None
    tree: object = None
    recorder: object = None
    tracer: tracing.Tracer | None = None

    def attach(self, net):
        """Use a network for the scenario and record its timeline."""
        self.net = net
        self.tracer = tracing.Tracer(net)
        net.tracer = self.tracer


@pytest.fixture
def world():
    return World()


def pytest_bdd_step_error(request, feature, scenario, step):
    """Print the seed and the timeline of a scenario that fails."""
    world = request.getfixturevalue('world')
    if world.net is None:
        return
    print(f'scenario={scenario.name!r} step={step.name!r}')
    print(f'seed={world.net.seed}')
    print(world.tracer.text())


@when(parsers.parse('{seconds:d} seconds pass'))
def seconds_pass(world, seconds):
    world.net.run(seconds)


@when('the cuts end')
def cuts_end(world):
    world.net.heal()
