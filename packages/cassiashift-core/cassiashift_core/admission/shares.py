"""Limits of a workspace that hold across entries.

One entry, the first by rendezvous hashing, grants shares of a workspace's
limit to the entries that have demand. Entries send it a demand summary
each interval and get a lease on a share; no message is sent for a call.

A fixed part of the limit is split evenly and needs no lease, so that an
entry that cannot reach the granter still serves a little. Only the rest is
leased. The granter never lets unexpired leases exceed that rest, and a new
granter waits one lease time before its first grant. The sum over entries
thus stays within the limit while the entries agree on their number.
"""

from collections.abc import Iterable

import attrs

LEASE_S = 3.0
FIXED_PART = 0.2


@attrs.frozen
class DemandSummary:
    """What one entry wants of a workspace's limit.

    Attributes:
        demand: tokens a second offered at the entry.
    """

    entry: str
    workspace: str
    demand: float


@attrs.frozen
class ShareLease:
    """A share of a workspace's limit, from 0 to 1, until a time."""

    entry: str
    workspace: str
    share: float
    expires_at: float


@attrs.define
class _Grants:
    """Demands and unexpired leases of one workspace, by entry.

    An answer may be lost, and the entry then goes on with the lease that
    it had. All unexpired leases of an entry are therefore kept, and the
    largest counts.
    """

    demands: dict[str, float] = attrs.field(factory=dict)
    leases: dict[str, list[ShareLease]] = attrs.field(factory=dict)

    def forget_expired(self, now: float) -> None:
        for entry in list(self.leases):
            kept = [
                lease for lease in self.leases[entry] if lease.expires_at > now
            ]
            if kept:
                self.leases[entry] = kept
            else:
                del self.leases[entry]
                self.demands.pop(entry, None)

    def wanted(self, entry: str) -> float:
        total = sum(self.demands.values())
        return self.demands[entry] / total if total else 0.0

    def taken_by_others(self, entry: str) -> float:
        return sum(
            max(lease.share for lease in leases)
            for other, leases in self.leases.items()
            if other != entry
        )


@attrs.define
class ShareGranter:
    """Grants shares of the workspaces that an entry is responsible for.

    Attributes:
        started_at: when the entry became responsible, in seconds.
    """

    started_at: float
    lease_s: float = LEASE_S
    _grants: dict[str, _Grants] = attrs.field(factory=dict, init=False)

    def request(self, demand: DemandSummary, now: float) -> ShareLease:
        """Return a lease in proportion to the known demands.

        Another entry's unexpired lease is never touched, so a share that
        must grow grows only as the others renew theirs.
        """
        grants = self._grants.setdefault(demand.workspace, _Grants())
        grants.forget_expired(now)
        grants.demands[demand.entry] = max(0.0, demand.demand)
        free = max(0.0, 1.0 - grants.taken_by_others(demand.entry))
        share = min(grants.wanted(demand.entry), free)
        if now < self.started_at + self.lease_s:
            share = 0.0
        lease = ShareLease(
            demand.entry, demand.workspace, share, now + self.lease_s
        )
        grants.leases.setdefault(demand.entry, []).append(lease)
        return lease

    def forget_idle(self, now: float) -> None:
        """Drop workspaces without an unexpired lease."""
        for workspace, grants in list(self._grants.items()):
            grants.forget_expired(now)
            if not grants.leases:
                del self._grants[workspace]


@attrs.define
class ShareHolder:
    """The shares that one entry holds.

    Attributes:
        entries: number of entries that may serve a workspace.
    """

    entries: int = 1
    fixed_part: float = FIXED_PART
    _leases: dict[str, ShareLease] = attrs.field(factory=dict, init=False)

    def granted(self, lease: ShareLease) -> None:
        """Take a lease; one that expires sooner than the held is old."""
        held = self._leases.get(lease.workspace)
        if held is None or lease.expires_at >= held.expires_at:
            self._leases[lease.workspace] = lease

    def share(self, workspace: str, now: float) -> float:
        """Return the part of the workspace's limit to use, 0 to 1."""
        if self.entries <= 1:
            return 1.0
        fixed = self.fixed_part / self.entries
        lease = self._leases.get(workspace)
        if lease is None or lease.expires_at <= now:
            return fixed
        return fixed + (1.0 - self.fixed_part) * lease.share

    def weight_share(self, workspace: str, now: float) -> float:
        """Return the part of the workspace's weight that counts here.

        Unlike the limit, the weight has no fixed part: the leases of a
        workspace on few entries then sum to as much as on many.
        """
        lease = self._leases.get(workspace)
        if lease is None or lease.expires_at <= now or not lease.share:
            return self.share(workspace, now)
        return lease.share

    def shares(
        self, workspaces: Iterable[str], now: float
    ) -> dict[str, float]:
        """Return the shares of several workspaces."""
        return {name: self.share(name, now) for name in workspaces}
