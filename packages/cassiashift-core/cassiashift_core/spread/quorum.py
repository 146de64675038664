"""A read from a majority of voters, before anything is served."""

import random
from typing import Any

import attrs

QUERY_INTERVAL_S = 0.5
NONCE_BITS = 62


@attrs.define
class QuorumRead:
    """Collects one answer from each voter until a majority has answered.

    Attributes:
        nonce: ties answers to this start of the process.
    """

    nonce: int
    answers: dict[str, Any] = attrs.field(factory=dict)
    _next_s: float = 0.0

    @classmethod
    def start(cls, rng: random.Random) -> 'QuorumRead':
        """Return a read that no earlier answer can belong to."""
        return cls(nonce=rng.getrandbits(NONCE_BITS))

    def is_due(self, now: float) -> bool:
        """Tell, once per interval, whether to ask again."""
        if now < self._next_s:
            return False
        self._next_s = now + QUERY_INTERVAL_S
        return True

    def missing(self, voters: tuple[str, ...]) -> list[str]:
        """Return the voters that have not answered."""
        return [voter for voter in voters if voter not in self.answers]

    def add(
        self, voter: str, nonce: int, answer: Any, voters: tuple[str, ...]
    ) -> bool:
        """Take in an answer; return whether a majority has answered."""
        if nonce == self.nonce and voter in voters:
            self.answers[voter] = answer
        return self.is_complete(voters)

    def is_complete(self, voters: tuple[str, ...]) -> bool:
        """Tell whether a majority of the voters has answered."""
        answered = sum(voter in self.answers for voter in voters)
        return answered > len(voters) // 2
