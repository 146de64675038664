"""Shares of a workspace's limits, leased to the entries.

One entry, the first by rendezvous hashing, grants shares of a workspace's
limit to the entries that have demand. Entries send it a demand summary
each interval and get a lease on a share; no message is sent per call.

A fixed share of the limit is split evenly and needs no lease, so that an
entry that cannot reach the granter still serves some calls. Only the rest
is leased. The granter keeps the sum of unexpired leases within that rest,
and a new granter waits one lease time before its first grant. The entries
together therefore keep to the limit as long as they agree on their number.
"""

from collections.abc import Iterable

import attrs

LEASE_S = 3.0
FIXED_SHARE = 0.2


@attrs.frozen
class DemandSummary:
    """The demand of one workspace at one entry.

    Attributes:
        demand: tokens a second of the calls that arrive at the entry.
    """

    entry: str
    workspace: str
    demand: float


@attrs.frozen
class ShareLease:
    """A share of a workspace's limit that an entry may use for a time.

    Attributes:
        share: part of the leased limit, from 0 to 1.
        expires_at: end of the lease, in seconds.
    """

    entry: str
    workspace: str
    share: float
    expires_at: float


@attrs.define
class _Grants:
    """Demands and unexpired leases of one workspace, by entry.

    If an answer is lost, the entry goes on using its previous lease. All
    unexpired leases of an entry are therefore kept, and the largest counts.
    """

    demands: dict[str, float] = attrs.field(factory=dict)
    leases: dict[str, list[ShareLease]] = attrs.field(factory=dict)

    def drop_expired(self, now: float) -> None:
        for entry in list(self.leases):
            unexpired = [
                lease for lease in self.leases[entry] if lease.expires_at > now
            ]
            if unexpired:
                self.leases[entry] = unexpired
            else:
                del self.leases[entry]
                self.demands.pop(entry, None)

    def wanted_share(self, entry: str) -> float:
        total = sum(self.demands.values())
        return self.demands[entry] / total if total else 0.0

    def leased_to_others(self, entry: str) -> float:
        return sum(
            max(lease.share for lease in leases)
            for other, leases in self.leases.items()
            if other != entry
        )


@attrs.define
class ShareGranter:
    """Grants leases for the workspaces whose granter is this entry.

    Attributes:
        started_at: when the entry became the granter, in seconds.
    """

    started_at: float
    lease_s: float = LEASE_S
    _grants: dict[str, _Grants] = attrs.field(factory=dict, init=False)

    def grant_lease(self, demand: DemandSummary, now: float) -> ShareLease:
        """Return a lease in proportion to the reported demands.

        Unexpired leases of other entries are not revoked, so a share can
        grow only as the others renew theirs. During the first lease time
        of a granter the share is 0.
        """
        grants = self._grants.setdefault(demand.workspace, _Grants())
        grants.drop_expired(now)
        grants.demands[demand.entry] = max(0.0, demand.demand)
        free = max(0.0, 1.0 - grants.leased_to_others(demand.entry))
        share = min(grants.wanted_share(demand.entry), free)
        if now < self.started_at + self.lease_s:
            share = 0.0
        lease = ShareLease(
            demand.entry, demand.workspace, share, now + self.lease_s
        )
        grants.leases.setdefault(demand.entry, []).append(lease)
        return lease

    def drop_idle(self, now: float) -> None:
        """Drop the state of workspaces without an unexpired lease."""
        for workspace, grants in list(self._grants.items()):
            grants.drop_expired(now)
            if not grants.leases:
                del self._grants[workspace]


@attrs.define
class ShareHolder:
    """The leases that one entry holds.

    Attributes:
        entries: number of entries that may serve a workspace.
        fixed_share: part of a limit that is split evenly without a lease.
    """

    entries: int = 1
    fixed_share: float = FIXED_SHARE
    _leases: dict[str, ShareLease] = attrs.field(factory=dict, init=False)

    def store_lease(self, lease: ShareLease) -> None:
        """Store a lease, unless the one held expires later."""
        held = self._leases.get(lease.workspace)
        if held is None or lease.expires_at >= held.expires_at:
            self._leases[lease.workspace] = lease

    def share(self, workspace: str, now: float) -> float:
        """Return the share of the workspace's limit to use, from 0 to 1."""
        if self.entries <= 1:
            return 1.0
        fixed = self.fixed_share / self.entries
        lease = self._leases.get(workspace)
        if lease is None or lease.expires_at <= now:
            return fixed
        return fixed + (1.0 - self.fixed_share) * lease.share

    def weight_share(self, workspace: str, now: float) -> float:
        """Return the share of the workspace's weight that counts here.

        Unlike the limit, the weight has no fixed share, so that a
        workspace has the same total weight on few entries as on many.
        Without a lease the share of the limit is used.
        """
        lease = self._leases.get(workspace)
        if lease is None or lease.expires_at <= now or not lease.share:
            return self.share(workspace, now)
        return lease.share

    def shares(
        self, workspaces: Iterable[str], now: float
    ) -> dict[str, float]:
        """Return ``share`` for each of several workspaces."""
        return {name: self.share(name, now) for name in workspaces}
