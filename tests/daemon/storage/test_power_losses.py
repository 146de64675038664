"""Tests of all hosts losing power at once after disks were full."""

import random

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import errors
from tests.daemon.storage import faulty_files
from tests.daemon.storage import full_disks

SEEDS = range(1, 13)


def run_to_power_loss(seed, hosts, are_emptied):
    """Fill the disks in turn, then lose a minority of them and all power.

    Returns:
        the deployment, and the entries that were acknowledged before.
    """
    rng = random.Random(seed)
    deployment = full_disks.Deployment(seed, hosts)
    deployment.settle_within(full_disks.JOIN_S)
    deployment.propose_every(rng.choice((0.02, 0.1)))
    for host in rng.sample(hosts, len(hosts)):
        deployment.fill(host, rng.choice(full_disks.REFUSALS))
        deployment.run(rng.uniform(0.3, 2.0))
        deployment.free(host)
    deployment.run(rng.choice((0.0, 0.05, 0.5, 2.0)))
    before = deployment.checker.max_committed
    deployment.run_until(lambda: deployment.checker.max_committed > before)
    acknowledged = dict(deployment.checker.committed)
    lost = rng.sample(hosts, (len(hosts) - 1) // 2)
    deployment.lose_power(lost, are_emptied)
    return deployment, acknowledged


def require_survival(seed, hosts, are_emptied):
    """Require all acknowledged entries in the log after the power is back."""
    deployment, acknowledged = run_to_power_loss(seed, hosts, are_emptied)
    before = deployment.checker.max_committed

    def is_changed():
        deployment.propose()
        return deployment.checker.max_committed > before

    deployment.run_until(is_changed)
    committed = deployment.checker.committed
    log = deployment.leader().replica.log
    for index, entry in acknowledged.items():
        assert_that(committed[index], matchers.Equals(entry))
        if index > log.base_index:
            assert_that(log.term_at(index), matchers.Equals(entry.term))


@pytest.mark.parametrize('are_emptied', [False, True])
@pytest.mark.parametrize('hosts', ['abc', 'abcde'])
@pytest.mark.parametrize('seed', SEEDS)
def test_acknowledged_changes_survive_lost_disks_and_a_loss_of_power(
    seed, hosts, are_emptied
):
    require_survival(seed, hosts, are_emptied)


def test_a_missing_sync_is_noticed_after_a_loss_of_power(monkeypatch):
    monkeypatch.setattr(faulty_files.FaultyFile, 'sync', lambda self: None)
    with pytest.raises((AssertionError, errors.CassiashiftError)):
        for seed in SEEDS:
            require_survival(seed, 'abc', are_emptied=False)
