"""Tests of the shares of a workspace's limits across entries."""

import random

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import admission
from cassiashift_core import manifest

ENTRIES = 5


@pytest.mark.parametrize('seed', range(10))
def test_shares_never_exceed_the_limit(seed):
    rng = random.Random(seed)
    granter = admission.ShareGranter(started_at=0.0)
    holders = {f'e{n}': admission.ShareHolder(ENTRIES) for n in range(ENTRIES)}
    reached = 0.0
    for step in range(200):
        now = step * 0.25
        for entry, holder in holders.items():
            if rng.random() < 0.4:
                continue
            demand = rng.choice([0.0, 1.0, 50.0, 1000.0])
            summary = admission.DemandSummary(entry, 'w1', demand)
            lease = granter.grant_lease(summary, now)
            if rng.random() < 0.7:
                holder.store_lease(lease)
        total = sum(item.share('w1', now) for item in holders.values())
        assert_that(total <= 1.0 + 1e-9, matchers.Equals(True))
        reached = max(reached, total)
    assert_that(reached, matchers.GreaterThan(0.9))


def test_shares_follow_the_demand():
    granter = admission.ShareGranter(started_at=-10.0)
    holders = {'e1': admission.ShareHolder(2), 'e2': admission.ShareHolder(2)}
    demands = {'e1': 90.0, 'e2': 10.0}
    for step in range(20):
        for entry, holder in holders.items():
            summary = admission.DemandSummary(entry, 'w1', demands[entry])
            holder.store_lease(granter.grant_lease(summary, float(step)))
    share = holders['e1'].share('w1', 19.0)
    assert_that(share, matchers.GreaterThan(0.8))


def test_entry_without_a_valid_lease_uses_its_fixed_share():
    holder = admission.ShareHolder(entries=4)
    lease = admission.ShareLease('e1', 'w1', 0.5, expires_at=3.0)
    holder.store_lease(lease)
    assert_that(holder.share('w1', 2.0), matchers.GreaterThan(0.4))
    assert_that(holder.share('w1', 3.0), matchers.Equals(0.05))


def test_new_granter_waits_until_old_leases_have_expired():
    granter = admission.ShareGranter(started_at=10.0)
    summary = admission.DemandSummary('e1', 'w1', 5.0)
    assert_that(granter.grant_lease(summary, 11.0).share, matchers.Equals(0.0))
    assert_that(granter.grant_lease(summary, 13.0).share, matchers.Equals(1.0))


@pytest.mark.parametrize('concurrency', [1, 3, 10])
def test_concurrency_holds_over_all_entries(concurrency):
    limits = manifest.Limits(concurrency=concurrency)
    granter = admission.ShareGranter(started_at=-10.0)
    gates = []
    for index in range(3):
        holder = admission.ShareHolder(3)
        summary = admission.DemandSummary(f'e{index}', 'w1', 50.0)
        holder.store_lease(granter.grant_lease(summary, 0.0))
        part = admission.WorkspaceLimits.for_share(
            limits, 1.0, holder.share('w1', 0.0)
        )
        gate = admission.AdmissionGate.from_config()
        gate.set_limits('w1', part, 0.0)
        gates.append(gate)
    for number in range(60):
        req = admission.AdmissionRequest(f'r{number}', 'w1', 'm@1')
        gates[number % 3].offer(req, 0.0)
    total = sum(gate.in_flight for gate in gates)
    assert_that(total <= concurrency, matchers.Equals(True))
