"""Rounds of heartbeats, the evidence for the quorum and for the lease.

A reply proves that the follower heard the leader no earlier than the start
of the round that it echoes. It refuses votes for an election timeout after
that, which is longer than the lease that the leader counts from the start.
"""

import collections

from cassiashift_core.consensus import records

OWN_ROUND = 1 << 62
KEPT_ROUNDS = 256


class Rounds:
    """Start times of rounds, and the last round each follower answered."""

    def __init__(self, host: str, now: float) -> None:
        """Start without evidence."""
        self._host = host
        self._started: collections.deque = collections.deque(
            maxlen=KEPT_ROUNDS
        )
        self.current = 0
        self.void(now)

    def void(self, now: float) -> None:
        """Forget all evidence, for it was timed by an unsteady clock."""
        self._since = now
        self._started.clear()
        self._answered = {self._host: OWN_ROUND}
        self._first = self.current + 1

    def start(self, now: float) -> None:
        """Start a round."""
        self.current += 1
        self._started.append(now)

    def answer(self, host: str, number: int) -> None:
        """Note that a follower has answered a round of this term."""
        if self._first <= number <= self.current:
            self._answered[host] = max(self._answered.get(host, 0), number)

    def last(self, host: str) -> int:
        """Return the last round that a follower has answered."""
        return self._answered.get(host, 0)

    def answered_by_quorum(self, voters: records.VoterSet) -> int:
        """Return the last round that a majority has answered."""
        return voters.quorum_value(self._answered)

    def quorum_time(self, voters: records.VoterSet, now: float) -> float:
        """Return when a majority is last known to have followed.

        Without evidence it is the time since when there could be some.
        """
        return self._time_of(self.answered_by_quorum(voters), now)

    def lease_until(
        self, voters: records.VoterSet, lease_s: float, now: float
    ) -> float | None:
        """Return the end of the lease, or None without evidence."""
        number = self.answered_by_quorum(voters)
        return self._time_of(number, now) + lease_s if number else None

    def _time_of(self, number: int, now: float) -> float:
        if number == OWN_ROUND:
            return now
        position = number - (self.current - len(self._started) + 1)
        if position < 0 or not number:
            return self._since
        return self._started[position]
