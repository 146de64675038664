"""Tests of a switch over lost messages, dead hosts and restarted ranks."""

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import errors
from cassiashift_core import mapswitch
from tests.core.mapswitch import cluster as clusters


def versions_run(cluster):
    """Return the versions that steps ran on, in order."""
    found = []
    for step in sorted(cluster.used):
        version = next(iter(cluster.used[step].values()))
        if version not in found:
            found.append(version)
    return found


def stalls(cluster):
    """Return the seconds that each rank has held steps for so far."""
    return [rank.stalled_s for rank in cluster.ranks.values()]


def advances(cluster):
    """Tell whether every running rank starts steps within two seconds."""
    before = dict(cluster.next_step)
    cluster.run(2.0)
    return all(cluster.next_step[n] > before[n] for n in cluster.ranks)


def test_switch_without_faults_stalls_no_rank():
    cluster = clusters.started()
    cluster.run(1.0)
    before = stalls(cluster)
    cluster.request('a')
    cluster.run(2.0)
    assert_that(versions_run(cluster), matchers.Equals([1, 2]))
    assert_that(stalls(cluster), matchers.Equals(before))


def test_stall_of_a_late_decision_is_measured():
    cluster = clusters.started()
    ranks = cluster.ranks.values()
    before = stalls(cluster)
    cluster.request('a')
    cluster.run_until(lambda: any(r.promise for r in ranks))
    cluster.cut = set(cluster.hosts)
    cluster.run(2.0)
    cluster.cut = set()
    cluster.run(2.0)
    cost = [b - a for a, b in zip(before, stalls(cluster), strict=True)]
    assert_that(min(cost), matchers.GreaterThan(1.5))
    assert_that(max(cost), matchers.LessThan(2.5))
    assert_that(versions_run(cluster), matchers.Equals([1, 2]))


@pytest.mark.parametrize('seed', range(8))
def test_lost_late_and_doubled_messages(seed):
    cluster = clusters.started(seed=seed, loss=0.3, doubled=0.3, delay_s=0.1)
    for _ in range(3):
        cluster.request('a')
        cluster.run(4.0)
    assert_that(advances(cluster), matchers.Equals(True))
    assert_that(max(versions_run(cluster)), matchers.GreaterThan(1))


@pytest.mark.parametrize('sends', range(14))
def test_coordinator_cut_off_between_any_two_sends(sends):
    cluster = clusters.started()
    cluster.cut_after_sends = sends
    cluster.request('a')
    cluster.run(1.0)
    cluster.cut_after_sends = None
    cluster.cut.add('a')
    cluster.lead('b')
    cluster.run(2.0)
    assert_that(advances(cluster), matchers.Equals(True))
    cluster.request('b')
    cluster.run(2.0)
    assert_that(cluster.finished[-1].committed, matchers.Equals(True))
    cluster.cut.discard('a')
    assert_that(advances(cluster), matchers.Equals(True))


@pytest.mark.parametrize('seed', range(4))
def test_two_coordinators_at_once(seed):
    cluster = clusters.started(seed=seed, loss=0.1)
    cluster.request('a')
    cluster.run(0.02 * seed)
    cluster.lead('b')
    cluster.request('b', body=b'b')
    cluster.run(4.0)
    assert_that(advances(cluster), matchers.Equals(True))
    bodies = {r.standing.current.body for r in cluster.ranks.values()}
    assert_that(bodies, matchers.HasLength(1))


def test_isolated_coordinator_that_comes_back_answers_nobody():
    cluster = clusters.started()
    cluster.cut.add('a')
    cluster.lead('b')
    cluster.request('b')
    cluster.run(3.0)
    cluster.cut.update({'b', 'c'})
    cluster.cut.discard('a')
    cluster.apart.add('a')
    cluster.start_rank('r0')
    cluster.run(2.0)
    held = cluster.ranks['r0'].may_start(99, cluster.now)
    assert_that(held, matchers.IsInstance(mapswitch.Hold))
    cluster.cut = set()
    cluster.apart = set()
    assert_that(advances(cluster), matchers.Equals(True))


def test_rank_stalled_through_the_switch_makes_it_abort():
    cluster = clusters.started()
    cluster.stalled.add('r1')
    cluster.request('a')
    cluster.run(5.0)
    assert_that(cluster.finished[-1].committed, matchers.Equals(False))
    assert_that(cluster.finished[-1].reason, matchers.Contains('r1'))
    cluster.stalled.clear()
    assert_that(advances(cluster), matchers.Equals(True))
    assert_that(versions_run(cluster), matchers.Equals([1]))


def test_rank_stalled_after_it_armed_follows_the_commit():
    cluster = clusters.started()
    cluster.request('a')
    cluster.run_until(lambda: cluster.ranks['r1'].promise)
    cluster.stalled.add('r1')
    cluster.run(4.0)
    cluster.stalled.clear()
    assert_that(advances(cluster), matchers.Equals(True))
    assert_that(versions_run(cluster), matchers.Equals([1, 2]))


def test_rank_that_cannot_load_makes_the_switch_abort():
    cluster = clusters.started()
    cluster.loading_fails.add(2)
    cluster.request('a')
    cluster.run(2.0)
    assert_that(cluster.finished[-1].committed, matchers.Equals(False))
    assert_that(advances(cluster), matchers.Equals(True))


@pytest.mark.parametrize('wait_s', [0.0, 0.05, 0.1, 0.15, 0.2, 0.25, 0.5])
def test_restarted_rank_learns_the_current_map_first(wait_s):
    cluster = clusters.started()
    cluster.request('a')
    cluster.run(wait_s)
    cluster.start_rank('r2')
    held = cluster.ranks['r2'].may_start(0, cluster.now)
    assert_that(held, matchers.IsInstance(mapswitch.Hold))
    cluster.run(1.0)
    assert_that(advances(cluster), matchers.Equals(True))


def test_joining_rank_starts_with_the_map_that_names_it():
    cluster = clusters.started()
    cluster.start_rank('r9')
    cluster.run(1.0)
    assert_that(cluster.next_step['r9'], matchers.Equals(0))
    cluster.next_step['r9'] = 10**6
    cluster.request('a')
    cluster.run(2.0)
    cluster.next_step['r9'] = cluster.ranks['r9'].standing.current.step
    assert_that(advances(cluster), matchers.Equals(True))


def test_lost_rank_is_left_out_and_does_not_run_again():
    cluster = clusters.started()
    lost = cluster.ranks.pop('r3')
    gone = mapswitch.RankGone('r3', lost.cfg.incarnation)
    for host in cluster.hosts:
        cluster.feed(host, gone)
    cluster.request('a', ranks=['r0', 'r1', 'r2'])
    cluster.run(2.0)
    assert_that(advances(cluster), matchers.Equals(True))
    cluster.start_rank('r3')
    cluster.run(2.0)
    held = cluster.ranks['r3'].may_start(10**6, cluster.now)
    assert_that(held, matchers.IsInstance(mapswitch.Hold))


def test_drained_rank_arms_and_then_holds_for_ever():
    cluster = clusters.started()
    cluster.request('a', ranks=['r0', 'r1', 'r2'])
    cluster.run(3.0)
    held = cluster.ranks['r3'].may_start(10**6, cluster.now)
    assert_that(held, matchers.IsInstance(mapswitch.Hold))
    del cluster.ranks['r3']
    assert_that(advances(cluster), matchers.Equals(True))


def test_report_that_a_restarted_rank_is_gone_is_ignored():
    cluster = clusters.started()
    before = cluster.ranks['r3'].cfg.incarnation
    cluster.start_rank('r3')
    cluster.run(1.0)
    cluster.feed('a', mapswitch.RankGone('r3', before))
    assert_that(cluster.hosts['a'].roster.gone, matchers.Equals(set()))


def test_second_switch_during_the_first_is_refused():
    cluster = clusters.started()
    cluster.request('a')
    cluster.run(0.05)
    cluster.request('a', body=b'other')
    code = cluster.refused[-1].error.code
    assert_that(code, matchers.Equals(errors.ErrorCode.CONFLICT))
    cluster.run(2.0)
    body = cluster.ranks['r0'].standing.current.body
    assert_that(body, matchers.Equals(b'm'))


def test_requester_that_a_late_proposal_overtakes_is_refused():
    cluster = clusters.started()
    cluster.request('a', body=b'mine')
    late = mapswitch.Decision(
        group=clusters.GROUP,
        kind=mapswitch.DecisionKind.OPEN,
        version=2,
        term=0,
        ranks=('r0', 'r1', 'r2', 'r3'),
        body=b'late',
    )
    cluster.log.append(late)
    cluster.run(2.0)
    code = cluster.refused[-1].error.code
    assert_that(code, matchers.Equals(errors.ErrorCode.CONFLICT))
    assert_that(cluster.finished[-1].committed, matchers.Equals(False))
    assert_that(advances(cluster), matchers.Equals(True))


def test_rollback_brings_the_former_body_under_a_new_number():
    cluster = clusters.started()
    cluster.request('a', body=b'new')
    cluster.run(2.0)
    cluster.feed('a', mapswitch.RollbackRequested('worse'))
    cluster.run(2.0)
    current = cluster.ranks['r0'].standing.current
    assert_that(current.body, matchers.Equals(b'm'))
    assert_that(current.version, matchers.Equals(3))


def test_rollback_without_a_former_map_is_refused():
    cluster = clusters.started()
    cluster.feed('a', mapswitch.RollbackRequested())
    code = cluster.refused[-1].error.code
    assert_that(code, matchers.Equals(errors.ErrorCode.NOT_FOUND))


def test_agent_refuses_old_orders_for_an_engine_that_ignores_fencing():
    cluster = clusters.started()
    cluster.request('a')
    old = [s for s in cluster.sent if isinstance(s.message, mapswitch.Stage)]
    cluster.run(0.05)
    cluster.lead('b')
    cluster.run(2.0)
    loads = len(cluster.orders)
    for effect in old:
        cluster.feed(effect.rank, mapswitch.Received(effect.message))
    cluster.run(0.2)
    assert_that(cluster.orders, matchers.HasLength(loads))
    refusals = [
        effect
        for effect in cluster.sent
        if isinstance(effect.message, mapswitch.OrderRefused)
    ]
    assert_that(refusals, matchers.Not(matchers.HasLength(0)))


def test_messages_survive_the_codec():
    cluster = clusters.started()
    cluster.request('a')
    cluster.run(2.0)
    for effect in cluster.sent:
        kind = type(effect.message)
        data = msgspec.msgpack.encode(effect.message)
        again = msgspec.msgpack.decode(data, type=kind)
        assert_that(again, matchers.Equals(effect.message))
