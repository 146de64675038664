"""A read from a majority of voters, done before a process serves."""

import random
from typing import Any

import attrs

QUERY_INTERVAL_S = 0.5
NONCE_BITS = 62


@attrs.define
class QuorumRead:
    """Collects one answer from each voter until a majority has answered.

    Attributes:
        nonce: sent with queries; answers with another one are ignored.
        answers: the answers by voter.
    """

    nonce: int
    answers: dict[str, Any] = attrs.field(factory=dict)
    _next_query_s: float = 0.0

    @classmethod
    def start(cls, rng: random.Random) -> 'QuorumRead':
        """Return a read whose random nonce no earlier answer carries."""
        return cls(nonce=rng.getrandbits(NONCE_BITS))

    def is_due(self, now: float) -> bool:
        """Return whether to send queries now: True once per interval."""
        if now < self._next_query_s:
            return False
        self._next_query_s = now + QUERY_INTERVAL_S
        return True

    def missing_voters(self, voters: tuple[str, ...]) -> list[str]:
        """Return the voters that have not answered."""
        return [voter for voter in voters if voter not in self.answers]

    def add_answer(
        self, voter: str, nonce: int, answer: Any, voters: tuple[str, ...]
    ) -> bool:
        """Add an answer; return whether a majority has answered.

        Answers with another nonce or from other hosts are ignored.
        """
        if nonce == self.nonce and voter in voters:
            self.answers[voter] = answer
        return self.is_complete(voters)

    def is_complete(self, voters: tuple[str, ...]) -> bool:
        """Return whether a majority of the voters has answered."""
        answered = sum(voter in self.answers for voter in voters)
        return answered > len(voters) // 2
