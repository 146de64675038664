"""Tests of the directory's answers."""

import random

import attrs
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import directory

WORKSPACES = [f'w{number}' for number in range(500)]


@pytest.fixture
def views():
    return [
        directory.EntryView(f'e{number}', f'10.0.0.{number}:80')
        for number in range(11)
    ]


@pytest.fixture
def entries(views):
    subject = directory.Directory.from_config(None, random.Random(7))
    subject.update_entries(views, 0.0)
    return subject


def answers(subject):
    return {name: subject.answer(name, 0.0).addresses for name in WORKSPACES}


def change(views, index, **changes):
    changed = list(views)
    changed[index] = attrs.evolve(changed[index], **changes)
    return changed


@pytest.mark.parametrize('state', [{'draining': True}, {'alive': False}])
def test_leaving_entry_moves_only_the_workspaces_that_used_it(
    entries, views, state
):
    before = answers(entries)
    entries.update_entries(change(views, 3, **state), 1.0)
    after = answers(entries)
    gone = views[3].address
    moved = [name for name in WORKSPACES if before[name] != after[name]]
    used = [name for name in WORKSPACES if gone in before[name]]
    assert_that(moved, matchers.Equals(used))
    named = {address for addresses in after.values() for address in addresses}
    assert_that(gone in named, matchers.Equals(False))


def test_only_workspaces_that_use_a_new_entry_move(entries, views):
    before = answers(entries)
    new = directory.EntryView('e11', '10.0.0.11:80')
    entries.update_entries([*views, new], 1.0)
    after = answers(entries)
    for name in WORKSPACES:
        if before[name] != after[name]:
            assert_that(new.address in after[name], matchers.Equals(True))


def test_first_addresses_are_spread_over_the_entries(entries):
    counts = {}
    for addresses in answers(entries).values():
        counts[addresses[0]] = counts.get(addresses[0], 0) + 1
    fair = len(WORKSPACES) / 11
    assert_that(len(counts), matchers.Equals(11))
    assert_that(max(counts.values()), matchers.LessThan(2 * fair))


def test_large_workspace_uses_several_entries(entries):
    entries.update_demand('w1', 1.8)
    addresses = entries.answer('w1', 0.0).addresses
    assert_that(addresses, matchers.HasLength(4))
    entries.update_demand('w1', 0.1)
    addresses = entries.answer('w1', 0.0).addresses
    assert_that(addresses, matchers.HasLength(2))


def test_overload_has_hysteresis(entries, views):
    busy = entries.answer('w1', 0.0).addresses[0]
    index = [view.address for view in views].index(busy)

    def first(load):
        entries.update_entries(change(views, index, load=load), 1.0)
        return entries.answer('w1', 1.0).addresses[0] == busy

    loads = [0.85, 0.95, 0.8, 0.6, 0.85]
    is_first = [first(load) for load in loads]
    wanted = [True, False, False, True, True]
    assert_that(is_first, matchers.Equals(wanted))


def test_overloaded_entries_are_better_than_none(entries, views):
    full = [attrs.evolve(view, load=1.0) for view in views]
    entries.update_entries(full, 1.0)
    addresses = entries.answer('w1', 1.0).addresses
    assert_that(addresses, matchers.HasLength(2))


def test_no_entry_alive_gives_no_address(entries, views):
    dead = [attrs.evolve(view, alive=False) for view in views]
    entries.update_entries(dead, 1.0)
    addresses = entries.answer('w1', 1.0).addresses
    assert_that(addresses, matchers.Equals(()))


def test_times_to_live_are_jittered_and_the_latest_expiry_is_kept(entries):
    cfg = directory.DirectoryConfig()
    ttls = [entries.answer('w1', 100.0).ttl_s for _ in range(200)]
    assert_that(max(ttls) <= cfg.max_ttl_s, matchers.Equals(True))
    assert_that(max(ttls) - min(ttls), matchers.GreaterThan(2.0))
    latest = 100.0 + max(ttls)
    assert_that(entries.latest_expiry(), matchers.Equals(latest))


def test_entries_of_the_callers_data_centre_come_first(entries, views):
    placed = [
        attrs.evolve(view, data_centre='nitra' if number % 3 else 'senec')
        for number, view in enumerate(views)
    ]
    entries.update_entries(placed, 0.0)
    local = {view.address for view in placed if view.data_centre == 'senec'}
    for name in WORKSPACES[:50]:
        addresses = entries.answer(name, 0.0, 'senec').addresses
        assert_that(set(addresses) <= local, matchers.Equals(True))
    addresses = entries.answer('w1', 0.0, 'trnava').addresses
    assert_that(addresses, matchers.HasLength(2))


def test_entries_beyond_the_cached_ranking_are_found(views):
    many = [
        directory.EntryView(f'e{number}', f'a{number}', alive=number == 77)
        for number in range(100)
    ]
    subject = directory.Directory.from_config(None, random.Random(1))
    subject.update_entries(many, 0.0)
    for name in WORKSPACES[:20]:
        addresses = subject.answer(name, 0.0).addresses
        assert_that(addresses, matchers.Equals(('a77',)))
