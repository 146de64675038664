"""Steps of the membership scenarios."""

from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core.membership import events
from cassiashift_core.membership import messages
from tests.core.membership import builders
from tests.core.membership import checks
from tests.scenarios import network

scenarios('membership.feature')

BAD_LINKS = network.Faults(delay_s=(0.001, 0.15), loss=0.1, copies=0.1)
ENTRIES = builders.entry_names(6)
AGENTS = builders.agent_names(9)


def upstream_views(world):
    """Return the upstreams that each running entry knows, by id."""
    return [
        node.machine.upstreams()
        for host, node in world.net.nodes.items()
        if node.running and 'entry' in host
    ]


@given(
    parsers.parse(
        'a data centre of {entries:d} entries and {agents:d} agents '
        'with seed {seed:d}'
    )
)
def data_centre(world, entries, agents, seed):
    net = builders.start_data_centre(seed, entries, agents)
    world.recorder = checks.StatusRecorder()
    net.on_effect = world.recorder
    world.attach(net)
    net.run(15)


@given('links that lose, delay and double messages')
def bad_links(world):
    world.net.faults = BAD_LINKS


@when(parsers.parse('the upstream of agent {index:d} starts to drain'))
def drain(world, index):
    draining = builders.upstream_of(AGENTS[index], draining=True)
    world.net.deliver(AGENTS[index], events.UpstreamsChanged((draining,)))


@when(parsers.parse('the first holder of agent {index:d} dies'))
def first_holder_dies(world, index):
    holders = world.net.nodes[AGENTS[index]].machine.holders()
    world.net.stop(holders[0])


@when(parsers.parse('agent {index:d} dies'))
def agent_dies(world, index):
    world.net.stop(AGENTS[index])


@when(parsers.parse('the old announcement of agent {index:d} arrives'))
def old_announcement_arrives(world, index):
    record = world.net.nodes[AGENTS[index]].machine.record
    for host in ENTRIES:
        event = events.Received(AGENTS[index], messages.Announce(record))
        world.net.deliver(host, event)


@when(parsers.parse('agent {index:d} restarts with a clock that is behind'))
def agent_restarts(world, index):
    builders.start_agent(world.net, AGENTS[index], ENTRIES[:3], 500)


@when(parsers.parse('entry {index:d} restarts'))
def entry_restarts(world, index):
    builders.start_entry(world.net, ENTRIES[index], ENTRIES[:3], 2000)


@when(
    parsers.parse(
        'entry {index:d} stalls {times:d} times for {seconds:d} seconds'
    )
)
def entry_stalls(world, index, times, seconds):
    for _ in range(times):
        node = world.net.nodes[ENTRIES[index]]
        node.paused_until_s = world.net.now + seconds
        world.net.run(3 * seconds)


@when(parsers.parse('entries {indexes} are cut off from the other entries'))
def cut_entries(world, indexes):
    chosen = [ENTRIES[int(index)] for index in indexes.split(', ')]
    others = [host for host in ENTRIES if host not in chosen]
    world.net.cut(chosen, others)


@then(
    parsers.parse(
        'every entry knows that the upstream of agent {index:d} is draining'
    )
)
def known_as_draining(world, index):
    for view in upstream_views(world):
        known = view[f'up-{AGENTS[index]}']
        assert_that(known.draining, matchers.Equals(True))


@then(parsers.parse('no entry knows the upstream of agent {index:d}'))
def upstream_is_unknown(world, index):
    for view in upstream_views(world):
        is_known = f'up-{AGENTS[index]}' in view
        assert_that(is_known, matchers.Equals(False))


@then(parsers.parse('every entry knows the upstream of agent {index:d}'))
def upstream_is_known(world, index):
    for view in upstream_views(world):
        assert_that(view, matchers.Contains(f'up-{AGENTS[index]}'))


@then('no running process was declared dead')
def none_dead(world):
    assert_that(world.recorder.deaths, matchers.Equals([]))


@then(parsers.parse('entry {index:d} has accused nobody'))
def accused_nobody(world, index):
    accused = [
        target
        for accuser, target in world.recorder.accusations
        if accuser == ENTRIES[index]
    ]
    assert_that(accused, matchers.Equals([]))


@then(parsers.parse('every entry knows all {count:d} entries'))
def all_entries(world, count):
    for view in builders.views(world.net, 'trnava').values():
        assert_that(view, matchers.HasLength(count))
