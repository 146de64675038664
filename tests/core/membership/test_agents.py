"""Tests of agents, their upstreams and data centre summaries."""

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import membership
from cassiashift_core.membership import events
from cassiashift_core.membership import messages
from cassiashift_core.membership import summaries
from tests.core.membership import builders
from tests.core.membership import checks
from tests.scenarios import network

ENTRIES = builders.entry_names(6)
AGENTS = builders.agent_names(9)


@pytest.fixture
def net():
    net = builders.start_data_centre(11)
    net.on_effect = checks.StatusRecorder()
    net.run(15)
    return net


def upstream_views(net):
    """Return the upstreams that each running entry knows, by id."""
    return [
        node.machine.upstreams()
        for host, node in net.nodes.items()
        if node.running and 'entry' in host
    ]


def assert_upstreams(net, agents):
    wanted = {f'up-{agent}' for agent in agents}
    for view in upstream_views(net):
        assert_that(set(view), matchers.Equals(wanted))


@pytest.mark.parametrize('seed', range(3))
def test_every_entry_knows_every_upstream_on_bad_links(seed):
    faults = network.Faults(delay_s=(0.001, 0.15), loss=0.1, copies=0.1)
    net = builders.start_data_centre(seed, faults=faults)
    net.on_effect = checks.StatusRecorder()
    net.run(60)
    assert_upstreams(net, AGENTS)
    assert_that(net.on_effect.deaths, matchers.Equals([]))


def test_upstream_of_a_killed_agent_is_removed(net):
    net.stop(AGENTS[0])
    net.run(15)
    assert_upstreams(net, AGENTS[1:])


def test_restarted_agent_with_an_older_incarnation_is_usable_again(net):
    net.stop(AGENTS[0])
    net.run(15)
    machine = builders.start_agent(net, AGENTS[0], ENTRIES[:2], 500)
    net.run(5)
    assert_upstreams(net, AGENTS)
    assert_that(machine.record.incarnation, matchers.GreaterThan(1000))


def test_draining_upstream_is_known_everywhere_within_seconds(net):
    draining = builders.upstream_of(AGENTS[1], draining=True)
    net.deliver(AGENTS[1], events.UpstreamsChanged((draining,)))
    net.run(3)
    for view in upstream_views(net):
        known = view[draining.upstream]
        assert_that(known.draining, matchers.Equals(True))


def test_leaving_agent_is_removed_within_seconds(net):
    net.deliver(AGENTS[2], events.Leaving())
    net.run(3)
    assert_upstreams(net, set(AGENTS) - {AGENTS[2]})
    assert_that(net.on_effect.deaths, matchers.Equals([]))


def test_agent_stays_usable_when_all_its_holders_are_killed(net):
    holders = net.nodes[AGENTS[0]].machine.holders()
    for host in holders:
        net.stop(host)
    net.run(30)
    assert_upstreams(net, AGENTS)
    net.stop(AGENTS[0])
    net.run(20)
    assert_upstreams(net, AGENTS[1:])


def test_one_holder_without_heartbeats_declares_no_agent_dead(net):
    isolated = net.nodes[AGENTS[0]].machine.holders()[0]
    net.cut(AGENTS, [isolated], both=False)
    net.run(30)
    assert_that(net.on_effect.deaths, matchers.Equals([]))


def test_each_agent_has_three_holders_among_20_entries():
    net = builders.start_data_centre(12, entries=20, agents=4)
    net.run(30)
    for agent in builders.agent_names(4):
        holders = net.nodes[agent].machine.holders()
        assert_that(holders, matchers.HasLength(3))


def test_messages_of_an_unknown_kind_change_nothing(net):
    effects = net.deliver(ENTRIES[0], events.Received('x', object()))
    assert_that(effects, matchers.Equals([]))


@pytest.fixture
def three_data_centres():
    net = network.Network(seed=21)
    names = ['trnava', 'nitra', 'senec']
    for name in names:
        entries = builders.entry_names(4, name)
        remote = tuple(
            builders.contact(f'{other}-entry-0')
            for other in names
            if other != name
        )
        for host in entries:
            builders.start_entry(
                net, host, entries, data_centre=name, remote_seeds=remote
            )
        for host in builders.agent_names(3, name):
            builders.start_agent(net, host, entries, data_centre=name)
    net.run(60)
    return net


def test_other_data_centres_are_known_by_summaries_only(three_data_centres):
    for host, node in three_data_centres.nodes.items():
        if 'entry' not in host:
            continue
        known = {item.data_centre: item for item in node.machine.summaries()}
        assert_that(set(known), matchers.HasLength(3))
        for item in known.values():
            assert_that(item.entries, matchers.Equals(4))
            wanted = (membership.Capacity('draft', 'both', 3, 96),)
            assert_that(item.capacity, matchers.Equals(wanted))
        assert_that(node.machine.usable_entries(), matchers.HasLength(4))


def test_cut_between_data_centres_declares_nobody_dead(three_data_centres):
    net = three_data_centres
    net.on_effect = checks.StatusRecorder()
    inside = [host for host in net.nodes if host.startswith('senec')]
    outside = [host for host in net.nodes if not host.startswith('senec')]
    net.cut(inside, outside)
    net.run(60)
    assert_that(net.on_effect.deaths, matchers.Equals([]))
    entry = net.nodes['trnava-entry-1'].machine
    age_s = entry.summary_age_s('senec', net.now)
    assert_that(age_s, matchers.GreaterThan(30.0))
    net.heal()
    net.run(30)
    age_s = entry.summary_age_s('senec', net.now)
    assert_that(age_s, matchers.LessThan(30.0))


def test_capacities_in_a_summary_are_bounded():
    agents = tuple(
        membership.Record(
            host=f'a{index}',
            kind=membership.Kind.AGENT,
            incarnation=1,
            upstreams=(
                membership.Announcement(f'u{index}', service=f's{index}'),
            ),
        )
        for index in range(200)
    )
    assert_that(
        summaries.capacities(agents),
        matchers.HasLength(summaries.MAX_CAPACITIES),
    )


def test_older_summary_is_ignored():
    store = summaries.Summaries('zapad', 'trnava', 'e')
    newer = membership.Summary('zapad', 'nitra', 5, 'r', entries=4)
    older = membership.Summary('zapad', 'nitra', 4, 'r', entries=1)
    store.merge(messages.SummaryPush((newer,)), 1.0)
    store.merge(messages.SummaryPush((older,)), 2.0)
    assert_that(store.all(), matchers.Equals((newer,)))
