"""Enforces limits of workspaces across all entries.

Each entry reports the demand of its workspaces once per interval, and gets
leases on shares of their limits. The shares of a workspace are granted by
one voter, which every entry picks by the same hash. No message is sent per
call.
"""

import time

import attrs

from cassiashift_core import admission
from cassiashift_core import hashing
from cassiashift_core import membership
from cassiashift_daemon import gate
from cassiashift_daemon import shared_state
from cassiashift_net import links
from cassiashift_net import messages

REPORT_INTERVAL_S = 1.0
DROP_IDLE_AFTER_S = 60.0
MAX_WORKSPACES_PER_REPORT = 4096


@attrs.define
class _Demand:
    """The demand of one workspace.

    Attributes:
        tokens: tokens of calls that arrived since the last report.
        seen_at: monotonic time of the last call.
    """

    tokens: float = 0.0
    seen_at: float = 0.0


@attrs.define(eq=False)
class LimitSharer:
    """The entry's side: reports demands and applies the granted shares."""

    host: str
    voters: dict[str, str]
    links: links.Links
    gate: gate.Gate
    holder: shared_state.SharedHolder
    member: membership.Membership
    shares: admission.ShareHolder = attrs.field(factory=admission.ShareHolder)
    _demands: dict[str, _Demand] = attrs.field(factory=dict)
    _sent_at: dict[int, float] = attrs.field(factory=dict)
    _report_number: int = 0

    def record_demand(self, workspace: str, tokens: int) -> None:
        """Add a call's tokens to the demand of its workspace."""
        demand = self._demands.get(workspace)
        if demand is None:
            demand = self._demands.setdefault(workspace, _Demand())
            self._apply_limits(workspace)
        demand.tokens += tokens
        demand.seen_at = time.monotonic()

    def report(self) -> None:
        """Send the demands of the last interval to the voters that grant."""
        now = time.monotonic()
        self.shares.entries = self._count_entries()
        self._drop_idle(now)
        batches: dict[str, list[messages.Demand]] = {}
        for workspace, demand in self._demands.items():
            granter = hashing.rendezvous_order(workspace, self.voters)[0]
            rate = demand.tokens / REPORT_INTERVAL_S
            batches.setdefault(granter, []).append(
                messages.Demand(workspace, rate)
            )
            demand.tokens = 0.0
        for granter, demands in batches.items():
            self._send(granter, demands[:MAX_WORKSPACES_PER_REPORT], now)
        self._sent_at = {
            number: sent_at
            for number, sent_at in self._sent_at.items()
            if now - sent_at < admission.LEASE_S
        }

    def received(self, message: messages.ShareGrants) -> None:
        """Apply granted leases; their time runs from the send of the report.

        Grants for a report that was answered before or sent longer than a
        lease ago are dropped.
        """
        sent_at = self._sent_at.pop(message.number, None)
        if sent_at is None:
            return
        for grant in message.grants:
            self.shares.store_lease(
                admission.ShareLease(
                    self.host,
                    grant.workspace,
                    grant.share,
                    sent_at + message.lease_s,
                )
            )
        for workspace in self._demands:
            self._apply_limits(workspace)

    def _send(
        self, granter: str, demands: list[messages.Demand], now: float
    ) -> None:
        self._report_number += 1
        self._sent_at[self._report_number] = now
        report = messages.DemandReport(self._report_number, tuple(demands))
        self.links.send(self.voters[granter], report)

    def _apply_limits(self, workspace: str) -> None:
        expected = self.holder.view.workspace(workspace)
        if expected is None:
            return
        now = time.monotonic()
        own_limits = admission.WorkspaceLimits.for_share(
            expected.limits,
            expected.weight,
            self.shares.share(workspace, now),
            self.shares.weight_share(workspace, now),
        )
        self.gate.set_limits(workspace, own_limits)

    def _drop_idle(self, now: float) -> None:
        for workspace, demand in list(self._demands.items()):
            if now - demand.seen_at > DROP_IDLE_AFTER_S:
                del self._demands[workspace]

    def _count_entries(self) -> int:
        own = self.member.cfg.data_centre
        elsewhere = sum(
            summary.entries
            for summary in self.member.summaries()
            if summary.data_centre != own
        )
        return len(self.member.usable_entries()) + elsewhere


@attrs.define(eq=False)
class LimitGranter:
    """A voter's side: grants shares in proportion to the demands."""

    granter: admission.ShareGranter

    @classmethod
    def started_now(cls) -> 'LimitGranter':
        """Return a granter that has started now.

        It waits one lease before its first grant.
        """
        return cls(admission.ShareGranter(time.monotonic()))

    def received(
        self, sender: links.Sender, message: messages.DemandReport
    ) -> None:
        """Reply to a report with a share for each of its workspaces."""
        now = time.monotonic()
        grants = []
        for demand in message.demands[:MAX_WORKSPACES_PER_REPORT]:
            lease = self.granter.grant_lease(
                admission.DemandSummary(
                    sender.host, demand.workspace, demand.tokens_per_second
                ),
                now,
            )
            grants.append(messages.Grant(demand.workspace, lease.share))
        sender.reply(
            messages.ShareGrants(
                message.number, tuple(grants), self.granter.lease_s
            )
        )

    def drop_idle(self) -> None:
        """Drop the state of workspaces without demand."""
        self.granter.drop_idle(time.monotonic())
