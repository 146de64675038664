"""Evidence that all voters have restarted, so that no leader has a lease.

A voter refuses votes for the election timeout after its start, since it may
have supported a leader's lease before and has forgotten it. If every voter
states, after this host has started, that it has neither led nor heard a
leader since its own start, the wait protects nothing: a leader with a lease
has committed an entry of its term, only a host with that entry can be elected,
and that host received it before its start, so the leader would not state that.
A leader that removes itself leads on until that is committed; so the voter set
has to be a committed one.
"""

from cassiashift_core.consensus import effects
from cassiashift_core.consensus import messages

WAITING_ROLES = (effects.Role.FOLLOWER, effects.Role.PRE_CANDIDATE)


class RestartEvidence:
    """What one replica knows of the starts of the other voters."""

    def __init__(self, replica) -> None:
        """Work on the state of a replica."""
        self._replica = replica
        self._start = replica.cfg.start
        self._next_probe_at = 0.0
        self._probed_since: float | None = None
        # Last term and index of the log of each voter that has reported.
        self._log_ends: dict[str, tuple[int, int]] = {}
        self._has_campaigned = False

    @property
    def is_complete(self) -> bool:
        """Whether all voters are known to have restarted without a leader."""
        replica = self._replica
        others = replica.other_voters
        return (
            bool(others)
            and self._is_set_committed()
            and not replica.had_leader_contact
            and all(host in self._log_ends for host in others)
        )

    def _is_set_committed(self) -> bool:
        """Return whether the newest voter set is known to be committed."""
        return self._replica.log.voters_index <= self._replica.commit_index

    def permits_vote(self, request: messages.VoteRequest) -> bool:
        """Return whether a vote needn't wait for the election timeout."""
        had_leader_contact = self._replica.had_leader_contact
        return (
            bool(self._start) and request.restarted and not had_leader_contact
        )

    def on_tick(self) -> None:
        """Probe the other voters until all have reported."""
        replica = self._replica
        if (
            not self._start
            or replica.had_leader_contact
            or replica.role not in WAITING_ROLES
            or replica.now < self._next_probe_at
        ):
            return
        if self._probed_since is None:
            self._probed_since = replica.now
        # After that the others are down or know a leader.
        is_recent = (
            replica.now - self._probed_since < replica.cfg.election_timeout_s
        )
        self._next_probe_at = replica.now + (
            replica.cfg.tick_s if is_recent else replica.cfg.election_timeout_s
        )
        probe = messages.RestartProbe(replica.term, self._start)
        for host in replica.other_voters:
            if host not in self._log_ends:
                replica.outbox.send_synced(host, probe)

    def on_probe(self, sender: str, probe: messages.RestartProbe) -> None:
        """Report to another voter unless a leader has been heard."""
        replica = self._replica
        if not self._start or replica.had_leader_contact:
            return
        log = replica.log
        report = messages.RestartReport(
            replica.term, probe.start, log.last_term, log.last_index
        )
        replica.outbox.send_synced(sender, report)

    def on_report(self, sender: str, report: messages.RestartReport) -> None:
        """Record a report; campaign once all voters have restarted."""
        if self._answers_own_probe(report):
            log_end = (report.last_term, report.last_index)
            self._log_ends[sender] = log_end
            self._campaign_if_complete()

    def _answers_own_probe(self, report: messages.RestartReport) -> bool:
        """Return whether a report was made after this host's start."""
        return report.probe_start == self._start != ''

    def _campaign_if_complete(self) -> None:
        """Start an election at once, or soon if another voter goes first."""
        replica = self._replica
        is_follower = replica.role is effects.Role.FOLLOWER
        if self._has_campaigned or not is_follower or not self.is_complete:
            return
        self._has_campaigned = True
        own = (replica.log.last_term, replica.log.last_index, replica.host)
        others = [
            (*self._log_ends[host], host) for host in replica.other_voters
        ]
        if own > max(others):
            replica.election_due()
        else:
            replica.set_retry_timer()
