"""Tests of a deployment in which one part of a prompt crashes upstreams."""

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core import poison
from tests.core.poison import simulated_site

# Bounds of the users' rules.
CONTACT_S = 3.0
CRASHES = 5
MAX_LATE_ARRIVALS = 3

CALM_S = 15.0
END_S = 55.0


def _play(seed, *, crashing_per_s=1.0, lost=0.0, others=(), restarts=()):
    site = simulated_site.SimulatedSite(seed, lost=lost)
    site.send_sound(20.0, END_S)
    site.send_crashing(crashing_per_s, CALM_S, END_S)
    for at, count in others:
        site.crash_others(at, count)
    for at in restarts:
        site.restart_entry(at)
    site.run(END_S)
    return site


def _require_rules(site):
    last = site.crashes[:CRASHES][-1]
    late = [at for at in site.arrivals if at > last + CONTACT_S]
    assert_that(len(late), matchers.LessThan(MAX_LATE_ARRIVALS + 1))
    usual = site.share_begun(0.0, CALM_S)
    served = site.share_begun(last + 2 * CONTACT_S, END_S)
    assert_that(served, matchers.GreaterThan(usual / 2))


@pytest.mark.parametrize('seed', range(25))
def test_the_part_is_blocked_and_sound_requests_are_served(seed):
    site = _play(seed)
    _require_rules(site)
    assert_that(site.blocked, matchers.Contains(simulated_site.CRASHING_PART))


@pytest.mark.parametrize('seed', range(25))
def test_crashes_of_other_causes_do_not_mislead(seed):
    site = _play(
        seed, others=[(5.0, 3), (16.0, 2), (19.0, 1), (24.0, 1), (35.0, 4)]
    )
    _require_rules(site)


@pytest.mark.parametrize('seed', range(25))
def test_lost_messages_and_restarted_entries_do_not_mislead(seed):
    site = _play(seed, lost=0.1, restarts=(14.0, 16.0, 18.0, 30.0, 40.0))
    _require_rules(site)


@pytest.mark.parametrize('seed', range(10))
def test_rare_requests_with_the_part_are_blocked(seed):
    _require_rules(_play(seed, crashing_per_s=0.15))


@pytest.mark.parametrize('seed', range(25))
def test_crashes_without_a_cause_in_prompts_block_no_common_part(seed):
    site = simulated_site.SimulatedSite(seed)
    site.send_sound(20.0, END_S)
    for at in range(5, 50, 3):
        site.crash_others(float(at), 1 + at % 3)
    site.run(END_S)
    assert_that(site.blocked, matchers.Equals(set()))


def test_the_checks_notice_a_part_that_is_never_blocked(monkeypatch):
    monkeypatch.setattr(
        poison.PoisonTable,
        'judge',
        lambda *args, **fields: poison.Judgement(poison.Decision.SEND),
    )
    with pytest.raises(matchers.MismatchError):
        _require_rules(_play(0))
