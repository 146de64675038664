"""Tests of the division of slots among the busy entries."""

import collections

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import workload
from tools import simulate_placing


@pytest.mark.parametrize('entries', [1, 2, 12, 35, 63, 104, 400])
@pytest.mark.parametrize(('upstreams', 'limit'), [(63, 5), (70, 2.5), (3, 6)])
def test_every_slot_is_the_home_of_one_entry(entries, upstreams, limit):
    hosts = sorted(f'e{number}' for number in range(entries))
    ids = [f'u{number}' for number in range(upstreams)]
    slots, totals = collections.Counter(), []
    for host in hosts:
        homes = workload.home_slots(host, hosts, ids[::-1], limit)
        slots.update(homes)
        totals.append(sum(homes.values()))
    expected = dict.fromkeys(ids, -int(-limit // 1))
    assert_that(dict(slots), matchers.Equals(expected))
    assert_that(
        max(totals) - min(totals) <= -int(-limit // 1), matchers.Is(True)
    )


def test_an_entry_that_hears_nothing_keeps_to_its_share():
    def most(silent):
        own = 0
        while own < 100 and (
            own < 100 / 5
            or workload.may_visit(
                100, own, 0, workload.BusyPeers(4 - silent, silent)
            )
        ):
            own += 1
        return own

    assert_that(most(4), matchers.Equals(20))
    assert_that(most(0), matchers.Equals(90))


def test_entries_that_are_not_heard_count_like_the_others():
    rates = {f'e{number}': 2.0 for number in range(10)}
    all_heard = workload.BusyPeers.from_rates(rates, rates, ())
    half_heard = workload.BusyPeers.from_rates(rates, list(rates)[:5], ())
    assert_that(workload.may_visit(100, 10, 79, all_heard), matchers.Is(True))
    assert_that(
        workload.may_visit(100, 10, 40, half_heard), matchers.Is(False)
    )
    # There may be more entries than slots.
    assert_that(workload.may_visit(100, 0, 100, all_heard), matchers.Is(True))


def test_unheard_entries_with_hardly_any_load_keep_no_slots_free():
    rates = dict.fromkeys('abcde', 20.0) | {
        f'idle-{number}': 0.1 for number in range(30)
    }
    peers = workload.BusyPeers.from_rates(rates, 'abcde', ())
    assert_that(peers.count, matchers.Equals(35))
    assert_that(workload.may_visit(315, 40, 200, peers), matchers.Is(True))
    assert_that(workload.may_visit(315, 40, 250, peers), matchers.Is(False))


def test_unheard_entries_count_like_the_others_without_their_rates():
    rates = dict.fromkeys('abcd', 0.0)
    peers = workload.BusyPeers.from_rates(rates, 'ab', 'c')
    assert_that(peers, matchers.Equals(workload.BusyPeers(2, 1, 1, 0.5)))


def _run(method, entries, load, **fields):
    return simulate_placing.Simulation(
        method, entries, load=load, **fields
    ).run(15.0)


def _full_share(simulation):
    return simulation.sent_to_full / simulation.sent


def test_digests_keep_requests_out_of_the_queues_of_upstreams():
    # Guards against herding: least loaded by digests was worse than nothing.
    for entries in (12, 35):
        own = _run(simulate_placing.OWN, entries, 0.6)
        digests = _run(simulate_placing.DIGESTS, entries, 0.6)
        assert_that(
            _full_share(digests), matchers.LessThan(_full_share(own) / 5)
        )


@pytest.mark.parametrize('seconds', [11.0, 20.0])
def test_entries_keep_to_their_shares_when_digests_stop(seconds):
    simulation = simulate_placing.Simulation(
        simulate_placing.DIGESTS, 12, load=1.05, digests_until=2.0
    ).run(seconds)
    in_flight = [
        sum(item.in_flight for _, item in entry.table.in_use())
        for entry in simulation.entries
    ]
    shares = [sum(homes.values()) for homes in simulation.homes.values()]
    assert_that(max(in_flight) <= max(shares), matchers.Is(True))
    assert_that(max(shares), matchers.Equals(27))


@pytest.mark.parametrize('scale', [10.0, 0.1])
def test_wrong_digests_stop_nothing(scale):
    simulation = _run(simulate_placing.DIGESTS, 12, 0.6, scale=scale)
    right = _run(simulate_placing.DIGESTS, 12, 0.6)
    waiting = sum(len(entry.queue) for entry in simulation.entries)
    assert_that(waiting, matchers.LessThan(30))
    assert_that(
        len(simulation.waits), matchers.GreaterThan(0.9 * len(right.waits))
    )
