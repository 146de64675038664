"""Anti-entropy: bucket hashes are compared with a random peer."""

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
    """Compares the table with one peer in each interval.

    The next comparison is earlier after one that found differences.
    """

    rng: random.Random
    rows: table.Table
    _next_sync_s: float = 0.0

    def tick(self, now: float, peers: Sequence[str]) -> list[events.Effect]:
        """Send the bucket hashes to a random peer once per interval."""
        if now < self._next_sync_s or not peers:
            return []
        self._next_sync_s = now + SYNC_INTERVAL_S
        digest = messages.SyncDigest(self.rows.digest())
        return [events.Send(self.rng.choice(peers), digest)]

    def matches(self, digest: messages.SyncDigest) -> bool:
        """Return whether a peer's bucket hashes equal those of this table."""
        return digest.buckets == self.rows.digest()

    def on_digest(
        self, digest: messages.SyncDigest, sender: str
    ) -> list[events.Effect]:
        """Answer with rows of the buckets that differ; ask for the peer's."""
        differing = tuple(
            index
            for index, pair in enumerate(
                zip(digest.buckets, self.rows.digest(), strict=False)
            )
            if pair[0] != pair[1]
        )
        if not differing:
            return []
        chosen, truncated = self._select_rows(differing)
        reply = messages.SyncRows(chosen, differing, truncated)
        return [events.Send(sender, reply)]

    def on_rows(
        self, message: messages.SyncRows, sender: str, now: float
    ) -> list[events.Effect]:
        """Answer with the rows that the sender asks for and does not have."""
        wait_s = SYNC_AFTER_DIFFERENCE_S
        if message.truncated:
            wait_s = SYNC_AFTER_TRUNCATION_S
        self._next_sync_s = min(self._next_sync_s, now + wait_s)
        if not message.wanted:
            return []
        received = set(message.rows)
        chosen, truncated = self._select_rows(message.wanted)
        missing = tuple(row for row in chosen if row not in received)
        if not missing:
            return []
        reply = messages.SyncRows(missing, (), truncated)
        return [events.Send(sender, reply)]

    def _select_rows(
        self, buckets: tuple[int, ...]
    ) -> tuple[tuple[records.Record, ...], bool]:
        rows = list(self.rows.rows_in(buckets))
        if len(rows) <= MAX_ROWS_PER_MESSAGE:
            return tuple(rows), False
        return tuple(self.rng.sample(rows, MAX_ROWS_PER_MESSAGE)), True
