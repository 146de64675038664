"""The choice of the parent to pull from and to subscribe to."""

import random

import attrs

from cassiashift_core import hashing

MAX_PARENTS = 4
PULL_INTERVAL_S = 0.8
PULL_TIMEOUT_S = 0.3


@attrs.define
class Puller:
    """Pulls from each of up to ``MAX_PARENTS`` parents in turn.

    It subscribes to one of them, and to the next one when that does not
    answer or refuses.

    Attributes:
        subscribed_to: the parent that is asked for pushes, empty without
            parents.
    """

    parents: list[str]
    subscribed_to: str = ''
    _index: int = 0
    _next_pull_s: float = 0.0
    _pending_parent: str = ''
    _pulled_s: float = 0.0

    @classmethod
    def for_host(
        cls, host: str, parents: tuple[str, ...], rng: random.Random
    ) -> 'Puller':
        """Return a puller for a host, with parents by rendezvous hashing."""
        others = [parent for parent in parents if parent != host]
        ranked = hashing.rendezvous_order(host, others)[:MAX_PARENTS]
        puller = cls(parents=ranked)
        puller.subscribed_to = ranked[0] if ranked else ''
        puller._next_pull_s = rng.random() * PULL_INTERVAL_S
        return puller

    def next_parent(self, now: float) -> str | None:
        """Return the parent to pull from now, None if no pull is due.

        A pull is due after ``PULL_INTERVAL_S``, or at once when the last
        one has had no answer for ``PULL_TIMEOUT_S``.
        """
        if not self.parents:
            return None
        if self._pending_parent and now - self._pulled_s >= PULL_TIMEOUT_S:
            self._abandon(self._pending_parent)
            return self._select_parent(now)
        if now < self._next_pull_s:
            return None
        return self._select_parent(now)

    def on_reply(self, parent: str) -> None:
        """Mark the pull to a parent as answered, so it cannot time out."""
        if parent == self._pending_parent:
            self._pending_parent = ''

    def on_subscription_refused(self, parent: str) -> None:
        """Subscribe to the next parent, as this one is at its limit.

        A reply of a parent that was not asked to subscribe is ignored.
        """
        if parent == self.subscribed_to:
            self._abandon(parent)

    def _select_parent(self, now: float) -> str:
        parent = self.parents[self._index % len(self.parents)]
        self._index += 1
        self._next_pull_s = now + PULL_INTERVAL_S
        self._pending_parent = parent
        self._pulled_s = now
        return parent

    def _abandon(self, parent: str) -> None:
        self._pending_parent = ''
        if parent != self.subscribed_to:
            return
        index = self.parents.index(parent) + 1
        self.subscribed_to = self.parents[index % len(self.parents)]
