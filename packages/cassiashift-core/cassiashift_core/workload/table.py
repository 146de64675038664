"""What an entry knows of the work that the others have in flight.

The sums are stored in the conditions of the upstreams. This table keeps one
digest for each busy entry, to replace or to expire its part of the sums.
"""

from collections.abc import Mapping
import math

import attrs

from cassiashift_core import fleet
from cassiashift_core.workload import digests
from cassiashift_core.workload import peers
from cassiashift_core.workload import schedule

# A digest expires after this number of its intervals: two may be lost.
EXPIRY_INTERVALS = 3
# Entries of one core were seen to handle messages 0.3 s late under load.
SHORTEST_EXPIRY_S = 0.5
# An entry whose digests stopped without notice may still be busy for the
# deadline of a stream.
SILENT_COUNTED_S = 8.0
# Hellos state requests of an entry for this long after the last one, as the
# rate in them is an average; meanwhile it is known to be idle.
IDLE_KEPT_S = 20.0
# Peers that this entry sends digests to after their last one.
RECENTLY_BUSY_S = 5.0
# Two clocks differ in rate by less than this.
CLOCK_DRIFT = 2e-4
# A host that sends many names must not fill the memory.
MAX_HOSTS = 1024


@attrs.frozen
class Expiry:
    """An entry whose digest expired, and the age that it had."""

    host: str
    age_s: float


@attrs.define(eq=False)
class _Peer:
    """What one process of another entry has reported.

    Attributes:
        offset_s: least difference seen between the clocks of this entry and
            the sender, transit included.
        expires_at: time at which its work no longer counts.
        is_idle: its last digest said that it has no work.
        worked_at: time of the last digest that stated any.
        added: the conditions that its rows were added to.
    """

    started_ns: int
    offset_s: float
    sent_ms: int = -1
    received_at: float = -math.inf
    expires_at: float = -math.inf
    is_idle: bool = False
    worked_at: float = -math.inf
    added: list[tuple[fleet.Condition, digests.WorkRow]] = attrs.field(
        factory=list
    )

    def is_silent(self, now: float) -> bool:
        """Return whether its digests stopped while it had work."""
        return not self.is_idle and now >= self.expires_at

    def withdraw(self) -> None:
        """Take its work out of the conditions."""
        for condition, row in self.added:
            condition.remove_others(row.in_flight, row.work_ms, row.tokens)
        self.added = []


@attrs.define(eq=False)
class WorkTable:
    """Adds the work of other entries to the conditions of a table."""

    upstreams: fleet.UpstreamTable
    _peers: dict[str, _Peer] = attrs.field(factory=dict)

    def apply(self, digest: digests.WorkDigest, now: float) -> bool:
        """Replace what is known of the sender; return whether it was newer.

        A digest that was in transit much longer than the fastest one of the
        same process counts for a shorter time, or not at all.

        Raises:
            ValueError: the rows are malformed.
        """
        rows = digests.unpack_rows(digest.rows)
        peer = self._peers.get(digest.host)
        offset_s = now - digest.sent_ms / 1000
        if peer is None or peer.started_ns != digest.started_ns:
            self.drop(digest.host)
            if len(self._peers) >= MAX_HOSTS:
                return False
            peer = _Peer(digest.started_ns, offset_s)
            self._peers[digest.host] = peer
        if digest.sent_ms <= peer.sent_ms:
            return False
        if math.isfinite(peer.received_at):
            peer.offset_s += CLOCK_DRIFT * (now - peer.received_at)
        peer.offset_s = min(peer.offset_s, offset_s)
        peer.withdraw()
        peer.sent_ms, peer.received_at = digest.sent_ms, now
        peer.is_idle = not rows
        if rows:
            peer.worked_at = now
        lateness_s = offset_s - peer.offset_s
        peer.expires_at = now - lateness_s + _expiry_s(digest)
        if now < peer.expires_at:
            self._add(peer, rows, now - lateness_s)
        return True

    def drop(self, host: str) -> None:
        """Forget an entry whose process has ended or was replaced."""
        peer = self._peers.pop(host, None)
        if peer is not None:
            peer.withdraw()

    def record_start(self, host: str, started_ns: int, now: float) -> None:
        """Record that a process of an entry was first heard of.

        What an earlier process reported no longer counts. The new one knows
        nothing of the others' work yet, so it counts as recently busy.
        """
        peer = self._peers.get(host)
        if peer is not None and peer.started_ns == started_ns:
            return
        self.drop(host)
        if len(self._peers) < MAX_HOSTS:
            self._peers[host] = _Peer(
                started_ns, math.inf, received_at=now, is_idle=True
            )

    def expire(self, now: float) -> list[Expiry]:
        """Withdraw expired work and return whose it was."""
        expired = []
        for host, peer in list(self._peers.items()):
            if peer.added and now >= peer.expires_at:
                peer.withdraw()
                expired.append(Expiry(host, now - peer.received_at))
            kept_s = IDLE_KEPT_S if peer.is_idle else SILENT_COUNTED_S
            if now - peer.received_at >= kept_s:
                self.drop(host)
        return expired

    def recently_busy(self, now: float) -> list[str]:
        """Return the entries that are busy or were so lately."""
        return [
            host
            for host, peer in self._peers.items()
            if now - peer.received_at < RECENTLY_BUSY_S
        ]

    def working(self, now: float) -> list[str]:
        """Return the entries that have work at engines, or had it lately."""
        return [
            host
            for host, peer in self._peers.items()
            if not peer.is_idle or now - peer.worked_at < RECENTLY_BUSY_S
        ]

    def busy_peers(
        self, rates: Mapping[str, float], now: float
    ) -> peers.BusyPeers:
        """Return what is known of the work of some other entries.

        Args:
            rates: announced requests per second at engines, by host.
        """
        known = {
            host: self._peers[host] for host in rates if host in self._peers
        }
        silent = {host for host, peer in known.items() if peer.is_silent(now)}
        return peers.BusyPeers.from_rates(rates, known.keys() - silent, silent)

    def silent_count(self, now: float) -> int:
        """Return how many entries are known to be busy, but not with what."""
        return sum(peer.is_silent(now) for peer in self._peers.values())

    def _add(
        self, peer: _Peer, rows: list[digests.WorkRow], sent_at: float
    ) -> None:
        for row in rows:
            condition = self.upstreams.condition_of_short(row.short_id)
            if condition is not None:
                condition.add_others(
                    row.in_flight, row.work_ms, row.tokens, sent_at
                )
                peer.added.append((condition, row))


def _expiry_s(digest: digests.WorkDigest) -> float:
    interval_s = min(digest.interval_ms / 1000, schedule.LONGEST_INTERVAL_S)
    return max(SHORTEST_EXPIRY_S, EXPIRY_INTERVALS * interval_s)
