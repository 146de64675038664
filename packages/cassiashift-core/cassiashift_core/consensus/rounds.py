"""Heartbeat rounds, from whose replies quorum and lease are derived.

A reply echoes the number of a round and proves that the follower received a
message of the leader no earlier than the start of that round. From then on
the follower refuses votes for an election timeout. The leader counts its
lease from the start of the round, and the lease is shorter than the timeout.
"""

import collections

from cassiashift_core.consensus import records

# Round recorded as answered by the leader itself, above any real round.
OWN_ROUND = 1 << 62
KEPT_ROUNDS = 256


class Rounds:
    """Start times of rounds, and the last round each follower answered."""

    def __init__(self, host: str, now: float) -> None:
        """Start with no round and no reply."""
        self._host = host
        self._start_times: collections.deque = collections.deque(
            maxlen=KEPT_ROUNDS
        )
        self.current = 0
        self.reset(now)

    def reset(self, now: float) -> None:
        """Discard all rounds and replies.

        Their times are invalid after a step of the clock.
        """
        self._reset_at = now
        self._start_times.clear()
        self._answered_rounds = {self._host: OWN_ROUND}
        self._first_valid_round = self.current + 1

    def start(self, now: float) -> None:
        """Start a round at the time ``now``."""
        self.current += 1
        self._start_times.append(now)

    def record_answer(self, host: str, round_number: int) -> None:
        """Record the reply of a follower to a round.

        A round of an older term, or from before the last reset, is ignored.
        """
        if self._first_valid_round <= round_number <= self.current:
            self._answered_rounds[host] = max(
                self._answered_rounds.get(host, 0), round_number
            )

    def last_answered(self, host: str) -> int:
        """Return the last round that a follower has answered, or 0."""
        return self._answered_rounds.get(host, 0)

    def answered_by_quorum(self, voters: records.VoterSet) -> int:
        """Return the last round that a majority has answered, or 0."""
        return voters.quorum_value(self._answered_rounds)

    def last_quorum_time(self, voters: records.VoterSet, now: float) -> float:
        """Return the last time at which a majority is known to have followed.

        It is the time of the last reset if no majority has replied since, or
        if the round that a majority has answered is no longer kept.
        """
        return self._start_time_of(self.answered_by_quorum(voters), now)

    def lease_until(
        self, voters: records.VoterSet, lease_s: float, now: float
    ) -> float | None:
        """Return the end of the lease, or None without a majority."""
        round_number = self.answered_by_quorum(voters)
        return (
            self._start_time_of(round_number, now) + lease_s
            if round_number
            else None
        )

    def _start_time_of(self, round_number: int, now: float) -> float:
        if round_number == OWN_ROUND:
            return now
        position = round_number - (self.current - len(self._start_times) + 1)
        if position < 0 or not round_number:
            return self._reset_at
        return self._start_times[position]
