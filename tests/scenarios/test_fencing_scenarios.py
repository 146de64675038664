"""Steps of the fencing scenarios, with stand-ins for the voters."""

import random

import attrs
import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import CassiashiftError
from cassiashift_core import ErrorCode
from cassiashift_core import fencing
from cassiashift_core.fencing import fence
from tests.scenarios import network

scenarios('fencing.feature')

VOTERS = ('c0', 'c1', 'c2')
CODES = {'fenced': ErrorCode.FENCED, 'unknown': ErrorCode.NO_QUORUM}


@attrs.define
class Voter:
    """Answers fence queries.

    c0 is isolated and stays in term 3; c1 and c2 move to the leader's term.

    Attributes:
        held: the token of the last order by upstream.
    """

    term: int
    held: dict[str, fencing.Token] = attrs.field(factory=dict)

    def handle(self, event, now):
        """Return the answer to a query; other events are ignored."""
        if not isinstance(event, fence.Received):
            return []
        reply = fencing.build_reply(event.message, self.term, self.held)
        return [fence.Send(event.sender, reply)]


def start_agent(net):
    """Start or restart the agent; a restart loses its fence."""
    cfg = fencing.FenceConfig(voters=VOTERS, upstreams=('up',))
    rng = random.Random(f'{net.seed} {net.now}')
    net.add('agent', fencing.Fence.from_config(cfg, rng), fence)


def check_order(world, term, index):
    """Check an order at the agent; raises an error if it is refused."""
    token = fencing.Token(term, index)
    world.net.nodes['agent'].machine.check('up', token)


@given(
    parsers.parse('an agent with an upstream and 3 voters with seed {seed:d}')
)
def agent_and_voters(world, seed):
    net = network.Network(seed=seed)
    for voter in VOTERS:
        net.add(voter, Voter(term=3), fence)
    start_agent(net)
    world.attach(net)
    net.run(3)


@when(parsers.parse('the leader of term {term:d} orders with index {index:d}'))
def leader_orders(world, term, index):
    for voter in VOTERS[1:]:
        machine = world.net.nodes[voter].machine
        machine.term = term
        machine.held['up'] = fencing.Token(term, index)
    check_order(world, term, index)


@when('the agent restarts')
def agent_restarts(world):
    start_agent(world.net)


@when('the agent is cut off from voters c1 and c2')
def cut_agent(world):
    world.net.cut(['agent'], ['c1', 'c2'])


@then(
    parsers.parse(
        'an order of term {term:d} with index {index:d} is refused as {name}'
    )
)
def refused(world, term, index, name):
    with pytest.raises(CassiashiftError) as caught:
        check_order(world, term, index)
    assert_that(caught.value.code, matchers.Is(CODES[name]))


@then(parsers.parse('an order of term {term:d} with index {index:d} passes'))
def passes(world, term, index):
    check_order(world, term, index)
