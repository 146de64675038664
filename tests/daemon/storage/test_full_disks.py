"""Tests of deployments whose disks are full one after another."""

import random

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import consensus
from tests.daemon.storage import full_disks

HOSTS = ('abcde', 'abc', 'abc')


@pytest.mark.parametrize('is_changing', [False, True])
@pytest.mark.parametrize('seed', range(1, 13))
def test_changes_are_acknowledged_after_the_last_disk_was_full(
    seed, is_changing
):
    deployment, _ = full_disks.explore(
        seed, HOSTS[seed % 3], 1 + seed % 2, is_changing
    )
    assert_that(deployment.failures, matchers.GreaterThan(0))


@pytest.mark.parametrize('first', range(1, 5))
def test_no_failing_step_of_a_storage_ends_a_voter_for_good(first):
    for step in range(first, 160, 16):
        deployment = full_disks.Deployment(step, 'abc')
        deployment.settle_within(full_disks.JOIN_S)
        deployment.propose_every(0.05)
        for host in 'abc':
            files = deployment.nodes[host].disk.files
            files.fail_at = files.steps + step
            deployment.run(3 + step / 50)
        deployment.settle_within(full_disks.ACK_TIMEOUT_S)
        assert_that(deployment.failures, matchers.Equals(3))


@pytest.mark.parametrize('seed', [*range(1, 6), 26, 29, 60, 70, 80, 99])
def test_changes_are_acknowledged_while_disks_are_full_in_turn(seed):
    silence_s = full_disks.explore_in_turn(seed, 'abc', 1.5, 3.0)
    assert_that(silence_s, matchers.LessThan(full_disks.ACK_TIMEOUT_S))


@pytest.mark.parametrize('seed', [*range(1, 6), 25, 31, 38, 43, 44, 67, 83])
def test_changes_are_acknowledged_while_disks_are_full_briefly(seed):
    silence_s = full_disks.explore_in_turn(seed, 'abc', 1.0, 2.0)
    assert_that(silence_s, matchers.LessThan(full_disks.ACK_TIMEOUT_S))


@pytest.mark.parametrize('seed', [*range(1, 6), 46, 115, 160, 216])
def test_changes_are_acknowledged_while_disks_are_full_for_about_a_second(
    seed,
):
    silence_s = full_disks.explore_in_turn(seed, 'abc', 0.5, 1.5)
    assert_that(silence_s, matchers.LessThan(full_disks.ACK_TIMEOUT_S))


@pytest.mark.parametrize(
    ('seed', 'rounds'), [(20, 3), (68, 3), (116, 3), (128, 3), (222, 3)]
)
def test_changes_are_acknowledged_while_full_disks_delay_the_first_voters(
    seed, rounds
):
    deployment, _ = full_disks.explore(seed, 'abc', rounds)
    assert_that(
        deployment.longest_silence_s,
        matchers.LessThan(full_disks.ACK_TIMEOUT_S),
    )


@pytest.fixture
def deployment():
    """Return three voters while changes are proposed ten times a second."""
    running = full_disks.Deployment(1, 'abc')
    running.settle_within(full_disks.JOIN_S)
    running.propose_every(0.1)
    return running


def require_short_silence(deployment):
    """Require changes at any time, and at each voter in the end."""
    deployment.settle_within(full_disks.ACK_TIMEOUT_S)
    assert_that(
        deployment.longest_silence_s,
        matchers.LessThan(full_disks.ACK_TIMEOUT_S),
    )


def other_hosts(deployment):
    """Return the hosts but the leader."""
    return [host for host in 'abc' if host != deployment.leader().host]


@pytest.mark.parametrize('step', range(1, 17))
def test_a_disk_that_fills_while_a_snapshot_is_installed(deployment, step):
    behind = other_hosts(deployment)[0]
    deployment.isolate(behind)
    deployment.run(5.0)
    last_index = deployment.nodes[behind].replica.log.last_index
    base_index = deployment.leader().replica.log.base_index
    assert_that(base_index, matchers.GreaterThan(last_index))
    files = deployment.nodes[behind].disk.files
    deployment.heal()
    files.fail_at = files.steps + step
    deployment.run(2.0)
    assert_that(deployment.failures, matchers.GreaterThan(0))
    require_short_silence(deployment)


@pytest.mark.parametrize('is_replaced', [False, True])
@pytest.mark.parametrize('step', range(1, 31))
def test_a_disk_that_fills_while_a_voter_joins(deployment, step, is_replaced):
    if is_replaced:
        deployment.remove(other_hosts(deployment)[0])
    deployment.add('x', step)
    deployment.run(2.0)
    require_short_silence(deployment)


@pytest.mark.parametrize('step', range(1, 31))
def test_a_leader_whose_disk_fills_while_a_voter_joins(deployment, step):
    files = deployment.leader().disk.files
    files.fail_at = files.steps + step
    deployment.add('x')
    deployment.run(2.0)
    assert_that(deployment.failures, matchers.GreaterThan(0))
    require_short_silence(deployment)


@pytest.mark.parametrize('kind', range(len(full_disks.REFUSALS)))
def test_a_leader_whose_disk_is_full_while_others_are_slow(deployment, kind):
    for _ in range(6):
        leader = deployment.leader().host
        deployment.slow = set(other_hosts(deployment))
        deployment.fill(leader, full_disks.REFUSALS[kind])
        deployment.run(3.0)
        deployment.free(leader)
        deployment.run(0.5)
    assert_that(deployment.failures, matchers.GreaterThan(3))
    require_short_silence(deployment)


@pytest.mark.parametrize('seed', range(1, 13))
def test_a_disk_that_is_full_again_within_a_second_of_its_return(
    deployment, seed
):
    rng = random.Random(seed)
    for host in 'abcabc':
        for _ in range(4):
            deployment.fill(host, rng.choice(full_disks.REFUSALS))
            deployment.run(rng.uniform(0.3, 2.0))
            deployment.free(host)
            deployment.run(rng.uniform(0.01, 0.9))
    assert_that(deployment.failures, matchers.GreaterThan(6))
    require_short_silence(deployment)


@pytest.mark.parametrize('is_leader', [False, True])
def test_a_change_larger_than_the_room_of_one_disk(deployment, is_leader):
    hosts = [deployment.leader().host, *other_hosts(deployment)]
    files = deployment.nodes[hosts[0 if is_leader else 1]].disk.files
    files.capacity = files.used + 5000
    committed = deployment.checker.committed
    for _ in range(8):
        leader = deployment.leader()
        deployment.post(leader.host, consensus.Propose, data=bytes(8000))
        deployment.run(1.0)
    large = [entry for entry in committed.values() if len(entry.data) > 5000]
    assert_that(len(large), matchers.GreaterThan(3))
    files.capacity = 10**9
    assert_that(deployment.failures, matchers.GreaterThan(0))
    require_short_silence(deployment)


def test_a_change_larger_than_the_room_of_all_disks(deployment):
    for node in deployment.nodes.values():
        node.disk.files.capacity = node.disk.files.used + 5000
    leader = deployment.leader()
    deployment.post(leader.host, consensus.Propose, data=bytes(8000))
    deployment.run(1.0)
    assert_that(deployment.failures, matchers.GreaterThan(1))
    for node in deployment.nodes.values():
        node.disk.files.capacity = 10**9
    require_short_silence(deployment)


@pytest.mark.parametrize('room', [0, 1, 30, 300, 1000, 1900])
@pytest.mark.parametrize('is_leader', [False, True])
def test_a_folder_that_gets_back_too_little_room_opens_with_more(
    deployment, room, is_leader
):
    hosts = [deployment.leader().host, *other_hosts(deployment)]
    host = hosts[0 if is_leader else 1]
    files = deployment.nodes[host].disk.files
    deployment.fill(host, {'write'})
    deployment.run(1.0)
    files.capacity = files.used + room
    deployment.free(host)
    deployment.run(5.0)
    files.capacity = 10**9
    assert_that(deployment.failures, matchers.GreaterThan(0))
    require_short_silence(deployment)
