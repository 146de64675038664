"""Steps of the scenarios of the distribution of revisions."""

from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when
from testtools.assertions import assert_that
from testtools import matchers

from tests.core.spread import builders
from tests.scenarios import network

scenarios('spread.feature')

BAD_LINKS = network.Faults(delay_s=(0.001, 0.08), loss=0.1, copies=0.1)


@given(
    parsers.parse(
        'a tree of {control:d} control hosts, {relays:d} relays, '
        '{entries:d} entries and {agents:d} agents with seed {seed:d}'
    )
)
def tree(world, control, relays, entries, agents, seed):
    sizes = (control, relays, entries, agents)
    world.tree = builders.Tree.build(seed, sizes=sizes, window_deltas=50)
    world.attach(world.tree.net)
    world.net.run(3)


@given(parsers.parse('{count:d} accepted revisions in force'))
def revisions_in_force(world, count):
    for _ in range(count):
        world.tree.commit()
    world.net.run(10)
    assert_that(world.tree.hosts_behind(), matchers.Equals([]))


@given('links that lose, delay, double and reorder messages')
def bad_links(world):
    world.net.faults = BAD_LINKS


@when('every push is lost')
def lose_pushes(world):
    world.net.drop = lambda sender, receiver, message: getattr(
        message, 'push', False
    )


@when('a revision is accepted')
def accept(world):
    world.tree.commit()


@when(parsers.parse('a revision is accepted by {first} and {second}'))
def accept_by(world, first, second):
    hosts = [first, second]
    world.tree.commit(knowing=hosts, holding=hosts)


@when(
    parsers.parse(
        '{count:d} revisions are accepted while processes restart at random'
    )
)
def accept_and_restart(world, count):
    followers = world.tree.hosts()[len(world.tree.voters) :]
    for _ in range(count):
        world.tree.commit()
        world.net.run(0.4)
        world.tree.start(world.net.rng.choice(followers))


@when('every process restarts at once')
def restart_all(world):
    for host in world.tree.hosts():
        world.tree.start(host)


@when('the control hosts learn again what is committed')
def learn_again(world):
    world.tree.learn(world.tree.voters)


@when(parsers.parse('host {host} dies'))
def host_dies(world, host):
    world.net.stop(host)


@when(parsers.parse('host {host} restarts'))
def host_restarts(world, host):
    world.tree.start(host)


@when(parsers.re('hosts? (?P<names>.+) (is|are) cut off from all others'))
def cut_off(world, names):
    hosts = names.split(', ')
    others = [host for host in world.tree.hosts() if host not in hosts]
    world.net.cut(hosts, others)


@then(
    parsers.re(
        'the last revision is in force on every running process'
        '( but (?P<host>.+))?'
    )
)
def in_force(world, host):
    behind = [name for name in world.tree.hosts_behind() if name != host]
    assert_that(behind, matchers.Equals([]))


@then('no process ever reverted')
def never_reverted(world):
    assert_that(world.tree.violations, matchers.Equals([]))


@then('no process serves')
def none_serves(world):
    serving = [
        host for host in world.tree.hosts() if world.tree.states[host].ready
    ]
    assert_that(serving, matchers.Equals([]))


@then(parsers.parse('host {host} serves'))
def serves(world, host):
    assert_that(world.tree.states[host].ready, matchers.Equals(True))


@then(parsers.parse('host {host} does not serve'))
def does_not_serve(world, host):
    assert_that(world.tree.states[host].ready, matchers.Equals(False))


@then(parsers.parse('host {host} reports that it is cut off'))
def reports_cut_off(world, host):
    status = world.tree.status(host)
    assert_that(status.cut_off, matchers.Equals(True))
