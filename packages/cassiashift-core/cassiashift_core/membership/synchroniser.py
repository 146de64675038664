"""Repair of the table by comparing bucket hashes with a random peer."""

from collections.abc import Sequence
import random

import attrs

from cassiashift_core.membership import events
from cassiashift_core.membership import messages
from cassiashift_core.membership import records
from cassiashift_core.membership import table

SYNC_INTERVAL_S = 5.0
SYNC_AFTER_DIFFERENCE_S = 1.0
SYNC_AFTER_TRUNCATION_S = 0.4
MAX_ROWS_PER_MESSAGE = 64


@attrs.define
class Synchroniser:
    """Compares the table with one peer in each interval."""

    rng: random.Random
    rows: table.Table
    _next_s: float = 0.0

    def tick(self, now: float, peers: Sequence[str]) -> list[events.Effect]:
        """Send the bucket hashes to a random peer when it is time."""
        if now < self._next_s or not peers:
            return []
        self._next_s = now + SYNC_INTERVAL_S
        digest = messages.SyncDigest(self.rows.digest())
        return [events.Send(self.rng.choice(peers), digest)]

    def agrees(self, digest: messages.SyncDigest) -> bool:
        """Tell whether a peer has the same rows."""
        return digest.buckets == self.rows.digest()

    def on_digest(
        self, digest: messages.SyncDigest, sender: str
    ) -> list[events.Effect]:
        """Answer with the rows of the buckets that differ."""
        differing = tuple(
            index
            for index, pair in enumerate(
                zip(digest.buckets, self.rows.digest(), strict=False)
            )
            if pair[0] != pair[1]
        )
        if not differing:
            return []
        chosen, truncated = self._choose(differing)
        reply = messages.SyncRows(chosen, differing, truncated)
        return [events.Send(sender, reply)]

    def on_rows(
        self, message: messages.SyncRows, sender: str, now: float
    ) -> list[events.Effect]:
        """Answer with the rows that the sender wants."""
        wait_s = SYNC_AFTER_DIFFERENCE_S
        if message.truncated:
            wait_s = SYNC_AFTER_TRUNCATION_S
        self._next_s = min(self._next_s, now + wait_s)
        if not message.wanted:
            return []
        received = set(message.rows)
        chosen, truncated = self._choose(message.wanted)
        news = tuple(row for row in chosen if row not in received)
        if not news:
            return []
        reply = messages.SyncRows(news, (), truncated)
        return [events.Send(sender, reply)]

    def _choose(
        self, buckets: tuple[int, ...]
    ) -> tuple[tuple[records.Record, ...], bool]:
        rows = list(self.rows.rows_of(buckets))
        if len(rows) <= MAX_ROWS_PER_MESSAGE:
            return tuple(rows), False
        return tuple(self.rng.sample(rows, MAX_ROWS_PER_MESSAGE)), True
