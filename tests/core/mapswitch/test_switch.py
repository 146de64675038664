"""Tests of a switch with lost messages, failed hosts and restarted ranks."""

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import errors
from cassiashift_core import mapswitch
from tests.core.mapswitch import cluster as clusters


def versions_run(cluster):
    """Return the versions that steps ran on, in the order of the steps."""
    versions = []
    for step in sorted(cluster.versions_by_step):
        version = next(iter(cluster.versions_by_step[step].values()))
        if version not in versions:
            versions.append(version)
    return versions


def stalls(cluster):
    """Return the seconds for which each rank has held steps so far."""
    return [rank.stalled_s for rank in cluster.ranks.values()]


def all_ranks_advance(cluster):
    """Return whether every rank starts a step within 2 seconds."""
    before = dict(cluster.next_step)
    cluster.run(2.0)
    return all(cluster.next_step[n] > before[n] for n in cluster.ranks)


def test_switch_without_faults_stalls_no_rank():
    cluster = clusters.start_cluster()
    cluster.run(1.0)
    before = stalls(cluster)
    cluster.request('a')
    cluster.run(2.0)
    assert_that(versions_run(cluster), matchers.Equals([1, 2]))
    assert_that(stalls(cluster), matchers.Equals(before))


def test_stall_of_a_late_decision_is_measured():
    cluster = clusters.start_cluster()
    ranks = cluster.ranks.values()
    before = stalls(cluster)
    cluster.request('a')
    cluster.run_until(lambda: any(r.held_order for r in ranks))
    cluster.disconnected = set(cluster.hosts)
    cluster.run(2.0)
    cluster.disconnected = set()
    cluster.run(2.0)
    added_stalls = [
        b - a for a, b in zip(before, stalls(cluster), strict=True)
    ]
    assert_that(min(added_stalls), matchers.GreaterThan(1.5))
    assert_that(max(added_stalls), matchers.LessThan(2.5))
    assert_that(versions_run(cluster), matchers.Equals([1, 2]))


@pytest.mark.parametrize('seed', range(8))
def test_lost_late_and_duplicated_messages(seed):
    cluster = clusters.start_cluster(
        seed=seed, loss=0.3, duplication=0.3, delay_s=0.1
    )
    for _ in range(3):
        cluster.request('a')
        cluster.run(4.0)
    assert_that(all_ranks_advance(cluster), matchers.Equals(True))
    assert_that(max(versions_run(cluster)), matchers.GreaterThan(1))


@pytest.mark.parametrize('sends', range(14))
def test_coordinator_disconnected_between_any_two_sends(sends):
    cluster = clusters.start_cluster()
    cluster.disconnect_after_sends = sends
    cluster.request('a')
    cluster.run(1.0)
    cluster.disconnect_after_sends = None
    cluster.disconnected.add('a')
    cluster.make_leader('b')
    cluster.run(2.0)
    assert_that(all_ranks_advance(cluster), matchers.Equals(True))
    cluster.request('b')
    cluster.run(2.0)
    assert_that(cluster.finished[-1].committed, matchers.Equals(True))
    cluster.disconnected.discard('a')
    assert_that(all_ranks_advance(cluster), matchers.Equals(True))


@pytest.mark.parametrize('seed', range(4))
def test_two_coordinators_at_once(seed):
    cluster = clusters.start_cluster(seed=seed, loss=0.1)
    cluster.request('a')
    cluster.run(0.02 * seed)
    cluster.make_leader('b')
    cluster.request('b', body=b'b')
    cluster.run(4.0)
    assert_that(all_ranks_advance(cluster), matchers.Equals(True))
    bodies = {r.standing.current.body for r in cluster.ranks.values()}
    assert_that(bodies, matchers.HasLength(1))


def test_deposed_coordinator_without_quorum_does_not_answer():
    cluster = clusters.start_cluster()
    cluster.disconnected.add('a')
    cluster.make_leader('b')
    cluster.request('b')
    cluster.run(3.0)
    cluster.disconnected.update({'b', 'c'})
    cluster.disconnected.discard('a')
    cluster.without_quorum.add('a')
    cluster.start_rank('r0')
    cluster.run(2.0)
    result = cluster.ranks['r0'].may_start(99, cluster.now)
    assert_that(result, matchers.IsInstance(mapswitch.Hold))
    cluster.disconnected = set()
    cluster.without_quorum = set()
    assert_that(all_ranks_advance(cluster), matchers.Equals(True))


def test_rank_stalled_during_staging_aborts_the_switch():
    cluster = clusters.start_cluster()
    cluster.stalled.add('r1')
    cluster.request('a')
    cluster.run(5.0)
    assert_that(cluster.finished[-1].committed, matchers.Equals(False))
    assert_that(cluster.finished[-1].reason, matchers.Contains('r1'))
    cluster.stalled.clear()
    assert_that(all_ranks_advance(cluster), matchers.Equals(True))
    assert_that(versions_run(cluster), matchers.Equals([1]))


def test_rank_stalled_after_it_armed_follows_the_commit():
    cluster = clusters.start_cluster()
    cluster.request('a')
    cluster.run_until(lambda: cluster.ranks['r1'].held_order)
    cluster.stalled.add('r1')
    cluster.run(4.0)
    cluster.stalled.clear()
    assert_that(all_ranks_advance(cluster), matchers.Equals(True))
    assert_that(versions_run(cluster), matchers.Equals([1, 2]))


def test_failed_load_aborts_the_switch():
    cluster = clusters.start_cluster()
    cluster.failing_versions.add(2)
    cluster.request('a')
    cluster.run(2.0)
    assert_that(cluster.finished[-1].committed, matchers.Equals(False))
    assert_that(all_ranks_advance(cluster), matchers.Equals(True))


@pytest.mark.parametrize('wait_s', [0.0, 0.05, 0.1, 0.15, 0.2, 0.25, 0.5])
def test_restarted_rank_learns_the_current_map_first(wait_s):
    cluster = clusters.start_cluster()
    cluster.request('a')
    cluster.run(wait_s)
    cluster.start_rank('r2')
    result = cluster.ranks['r2'].may_start(0, cluster.now)
    assert_that(result, matchers.IsInstance(mapswitch.Hold))
    cluster.run(1.0)
    assert_that(all_ranks_advance(cluster), matchers.Equals(True))


def test_new_rank_starts_with_the_first_map_that_includes_it():
    cluster = clusters.start_cluster()
    cluster.start_rank('r9')
    cluster.run(1.0)
    assert_that(cluster.next_step['r9'], matchers.Equals(0))
    cluster.next_step['r9'] = 10**6
    cluster.request('a')
    cluster.run(2.0)
    cluster.next_step['r9'] = cluster.ranks['r9'].standing.current.step
    assert_that(all_ranks_advance(cluster), matchers.Equals(True))


def test_lost_rank_is_left_out_and_does_not_run_again():
    cluster = clusters.start_cluster()
    lost = cluster.ranks.pop('r3')
    gone = mapswitch.RankGone('r3', lost.cfg.incarnation)
    for host in cluster.hosts:
        cluster.feed(host, gone)
    cluster.request('a', ranks=['r0', 'r1', 'r2'])
    cluster.run(2.0)
    assert_that(all_ranks_advance(cluster), matchers.Equals(True))
    cluster.start_rank('r3')
    cluster.run(2.0)
    result = cluster.ranks['r3'].may_start(10**6, cluster.now)
    assert_that(result, matchers.IsInstance(mapswitch.Hold))


def test_drained_rank_arms_and_then_holds_for_ever():
    cluster = clusters.start_cluster()
    cluster.request('a', ranks=['r0', 'r1', 'r2'])
    cluster.run(3.0)
    result = cluster.ranks['r3'].may_start(10**6, cluster.now)
    assert_that(result, matchers.IsInstance(mapswitch.Hold))
    del cluster.ranks['r3']
    assert_that(all_ranks_advance(cluster), matchers.Equals(True))


def test_report_that_a_restarted_rank_is_gone_is_ignored():
    cluster = clusters.start_cluster()
    before = cluster.ranks['r3'].cfg.incarnation
    cluster.start_rank('r3')
    cluster.run(1.0)
    cluster.feed('a', mapswitch.RankGone('r3', before))
    assert_that(cluster.hosts['a'].roster.gone, matchers.Equals(set()))


def test_second_switch_during_the_first_is_refused():
    cluster = clusters.start_cluster()
    cluster.request('a')
    cluster.run(0.05)
    cluster.request('a', body=b'other')
    code = cluster.refused[-1].error.code
    assert_that(code, matchers.Equals(errors.ErrorCode.CONFLICT))
    cluster.run(2.0)
    body = cluster.ranks['r0'].standing.current.body
    assert_that(body, matchers.Equals(b'm'))


def test_request_is_refused_when_a_late_proposal_commits_first():
    cluster = clusters.start_cluster()
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
    assert_that(all_ranks_advance(cluster), matchers.Equals(True))


def test_rollback_commits_the_previous_body_under_a_new_version():
    cluster = clusters.start_cluster()
    cluster.request('a', body=b'new')
    cluster.run(2.0)
    cluster.feed('a', mapswitch.RollbackRequested('worse'))
    cluster.run(2.0)
    current = cluster.ranks['r0'].standing.current
    assert_that(current.body, matchers.Equals(b'm'))
    assert_that(current.version, matchers.Equals(3))


def test_rollback_without_a_previous_map_is_refused():
    cluster = clusters.start_cluster()
    cluster.feed('a', mapswitch.RollbackRequested())
    code = cluster.refused[-1].error.code
    assert_that(code, matchers.Equals(errors.ErrorCode.NOT_FOUND))


def test_agent_refuses_stale_orders():
    cluster = clusters.start_cluster()
    cluster.request('a')
    old = [s for s in cluster.sent if isinstance(s.message, mapswitch.Stage)]
    cluster.run(0.05)
    cluster.make_leader('b')
    cluster.run(2.0)
    loads = len(cluster.load_orders)
    for effect in old:
        cluster.feed(effect.rank, mapswitch.Received(effect.message))
    cluster.run(0.2)
    assert_that(cluster.load_orders, matchers.HasLength(loads))
    refusals = [
        effect
        for effect in cluster.sent
        if isinstance(effect.message, mapswitch.OrderRefused)
    ]
    assert_that(refusals, matchers.Not(matchers.HasLength(0)))


def test_messages_are_unchanged_by_encoding_and_decoding():
    cluster = clusters.start_cluster()
    cluster.request('a')
    cluster.run(2.0)
    for effect in cluster.sent:
        kind = type(effect.message)
        data = msgspec.msgpack.encode(effect.message)
        decoded = msgspec.msgpack.decode(data, type=kind)
        assert_that(decoded, matchers.Equals(effect.message))
