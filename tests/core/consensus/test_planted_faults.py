"""Tests that the checks detect faults planted in the code."""

import attrs
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from cassiashift_core.consensus import changes
from cassiashift_core.consensus import clock
from cassiashift_core.consensus import contact
from cassiashift_core.consensus import effects
from cassiashift_core.consensus import election
from cassiashift_core.consensus import leader
from cassiashift_core.consensus import log
from cassiashift_core.consensus import messages
from cassiashift_core.consensus import outbox
from cassiashift_core.consensus import progress
from cassiashift_core.consensus import reads
from cassiashift_core.consensus import records
from cassiashift_core.consensus import restart
from cassiashift_core.consensus import state
from tests.core.consensus import checks
from tests.core.consensus import scenarios
from tests.core.consensus import schedules

MAX_SEEDS = 30


def explore_seeds():
    """Run schedules until one of them breaks an invariant."""
    for seed in range(1, MAX_SEEDS + 1):
        schedules.explore(seed)


@attrs.frozen
class Fault:
    """A method to replace, and the run that must detect the fault.

    Attributes:
        violation: part of the text of the expected Violation.
    """

    owner: type
    name: str
    planted: object
    violation: str
    run: object = explore_seeds


def send_without_sync(self, receiver, message):
    self._held.append((0, effects.Send(receiver, message)))


def grant_again(self, sender, request):
    return request.term >= self._replica.term


def grant_without_vote_check(self, sender, request):
    log_state = self._replica.log
    newer = request.term >= self._replica.term
    return newer and log_state.is_candidate_up_to_date(
        request.last_index, request.last_term
    )


def read_without_lease(self, token):
    index = self._replica.commit_index
    self._pending.append(reads.PendingRead(token, 0, index))


real_on_rejected = progress.Progress.on_rejected


def reject_without_lost_entries(self, prev_index, next_index, round_number):
    if prev_index > self.match:
        real_on_rejected(self, prev_index, next_index, round_number)


real_send_timeout_now = leader.Leader.send_timeout_now


def send_timeout_now_and_keep_lease(self):
    real_send_timeout_now(self)
    self._is_lease_revoked = False


def report_always(self, sender, probe):
    replica = self._replica
    log_state = replica.log
    report = messages.RestartReport(
        replica.term, probe.start, log_state.last_term, log_state.last_index
    )
    replica.outbox.send_synced(sender, report)


def start_without_contact(self):
    self.contact.forget()
    self.set_retry_timer()


def advance_without_steps(self, reading_s):
    result = self._clock.advance(reading_s)
    if self.at is None:
        self.at = result[0]
    return result


FAULTS = {
    'vote and acknowledge without sync': Fault(
        outbox.Outbox, 'send_synced', send_without_sync, 'votes unsynced'
    ),
    'count a learner': Fault(
        records.VoterSet,
        'voter_hosts',
        property(lambda self: self.hosts),
        'becomes a voter before it caught up',
    ),
    'promote a learner too soon': Fault(
        changes.VoterChanges,
        'is_caught_up',
        lambda self, peer: bool(peer and peer.incarnation),
        'becomes a voter before it caught up',
    ),
    'add an empty voter that raises the quorum': Fault(
        changes.VoterChanges,
        'must_catch_up',
        lambda self, voters, promoted: False,
        'becomes a voter before it caught up',
    ),
    'apply uncommitted entries': Fault(
        state.ReplicaState,
        'appliable_index',
        lambda self: self.outbox.durable_index,
        'is applied without a quorum that synced it',
    ),
    'apply unsynced entries': Fault(
        state.ReplicaState,
        'appliable_index',
        lambda self: self.commit_index,
        'applies before it is synced',
    ),
    'commit an older term by count': Fault(
        leader.Leader,
        'may_commit',
        lambda self, index: index > self._replica.commit_index,
        'commits an older term',
        scenarios.older_term_held_by_majority,
    ),
    'vote during a lease': Fault(
        state.ReplicaState,
        'may_leader_hold_lease',
        lambda self: False,
        'holds a lease beside a newer leader',
        scenarios.follower_cut_off_from_the_leader,
    ),
    'count reports to an earlier start': Fault(
        restart.RestartEvidence,
        '_answers_own_probe',
        lambda self, report: True,
        'holds a lease beside a newer leader',
        scenarios.late_reports_to_an_earlier_start,
    ),
    'ask an uncommitted voter set': Fault(
        restart.RestartEvidence,
        '_is_set_committed',
        lambda self: True,
        'holds a lease beside a newer leader',
        scenarios.leader_that_removes_itself_is_not_asked,
    ),
    'report although it leads': Fault(
        restart.RestartEvidence,
        'on_probe',
        report_always,
        'holds a lease beside a newer leader',
        scenarios.followers_restart_unheard_by_the_leader,
    ),
    'overlook clock steps': Fault(
        clock.Clock,
        'read',
        lambda self, reading_s: (reading_s, False),
        'holds a lease beside a newer leader',
        scenarios.clocks_of_all_followers_step,
    ),
    'forget the leader after a failed storage': Fault(
        state.ReplicaState,
        'start_election_timer',
        start_without_contact,
        'holds a lease beside a newer leader',
        scenarios.storages_of_all_followers_fail,
    ),
    'overlook clock steps of a closed voter': Fault(
        contact.LeaderContact,
        'advance',
        advance_without_steps,
        'holds a lease beside a newer leader',
        scenarios.clocks_step_while_storages_are_closed,
    ),
    'forget the leader after an older handover': Fault(
        election.Election,
        '_ends_lease',
        lambda self, request: request.handover,
        'holds a lease beside a newer leader',
        scenarios.late_requests_of_a_handover,
    ),
    'keep the lease after a handover': Fault(
        leader.Leader,
        'send_timeout_now',
        send_timeout_now_and_keep_lease,
        'holds a lease beside a newer leader',
        scenarios.leader_cut_off_after_handover,
    ),
    'read by a lease that has ended': Fault(
        reads.Reads,
        'add',
        read_without_lease,
        'answers a stale read',
        scenarios.leader_cut_off_after_handover,
    ),
    'campaign on an old handover': Fault(
        election.Election,
        'is_handover_election',
        property(lambda self: self._handover_term > 0),
        'campaigns without a handover',
        scenarios.isolated_after_two_handovers,
    ),
    'vote twice in a term': Fault(
        election.Election, 'may_grant', grant_without_vote_check, 'votes twice'
    ),
    'vote for an incomplete log': Fault(
        log.Log,
        'is_candidate_up_to_date',
        lambda self, last_index, last_term: True,
        'leads without the committed entry',
    ),
    'count an emptied voter': Fault(
        state.ReplicaState,
        'check_identity',
        lambda self, sender, incarnation: True,
        'leads without the committed entry',
        scenarios.voter_back_with_emptied_folder,
    ),
    'count a voter that lost entries': Fault(
        progress.Progress,
        'on_rejected',
        reject_without_lost_entries,
        'leads without the committed entry',
        scenarios.voter_back_with_an_older_folder,
    ),
    'start a log by a majority': Fault(
        records.VoterSet,
        'votes_needed',
        property(lambda self: self.quorum),
        'leads without the committed entry',
        scenarios.voter_emptied_before_its_first_entry,
    ),
}


@pytest.mark.parametrize('name', FAULTS)
def test_checks_catch_a_planted_fault(name, monkeypatch):
    fault = FAULTS[name]
    monkeypatch.setattr(fault.owner, fault.name, fault.planted)
    with pytest.raises(checks.Violation) as caught:
        fault.run()
    assert_that(str(caught.value), matchers.Contains(fault.violation))


@pytest.mark.parametrize(
    'run',
    sorted(
        {fault.run for fault in FAULTS.values()} - {explore_seeds}, key=str
    ),
    ids=lambda run: run.__name__,
)
def test_no_check_fails_without_a_fault(run):
    run()
