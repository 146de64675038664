"""The choice of the parent to pull from and to subscribe to."""

import random

import attrs

from cassiashift_core import hashing

PARENTS = 4
PULL_INTERVAL_S = 0.8
PULL_TIMEOUT_S = 0.3


@attrs.define
class Puller:
    """Rotates over few parents and skips those that do not answer.

    Attributes:
        subscribed_to: the parent that is asked for pushes.
    """

    parents: list[str]
    subscribed_to: str = ''
    _index: int = 0
    _next_s: float = 0.0
    _waiting_for: str = ''
    _asked_s: float = 0.0

    @classmethod
    def choose(
        cls, host: str, parents: tuple[str, ...], rng: random.Random
    ) -> 'Puller':
        """Return a puller over the host's share of the parents."""
        others = [parent for parent in parents if parent != host]
        ranked = hashing.rendezvous(host, others)[:PARENTS]
        puller = cls(parents=ranked)
        puller.subscribed_to = ranked[0] if ranked else ''
        puller._next_s = rng.random() * PULL_INTERVAL_S
        return puller

    def due(self, now: float) -> str | None:
        """Return the parent to pull from now, if it is time."""
        if not self.parents:
            return None
        if self._waiting_for and now - self._asked_s >= PULL_TIMEOUT_S:
            self._give_up(self._waiting_for)
            return self._ask(now)
        if now < self._next_s:
            return None
        return self._ask(now)

    def answered(self, parent: str) -> None:
        """Note the answer of a parent."""
        if parent == self._waiting_for:
            self._waiting_for = ''

    def refused(self, parent: str) -> None:
        """Subscribe elsewhere, as the parent takes no more children."""
        if parent == self.subscribed_to:
            self._give_up(parent)

    def _ask(self, now: float) -> str:
        parent = self.parents[self._index % len(self.parents)]
        self._index += 1
        self._next_s = now + PULL_INTERVAL_S
        self._waiting_for = parent
        self._asked_s = now
        return parent

    def _give_up(self, parent: str) -> None:
        self._waiting_for = ''
        if parent != self.subscribed_to:
            return
        index = self.parents.index(parent) + 1
        self.subscribed_to = self.parents[index % len(self.parents)]
