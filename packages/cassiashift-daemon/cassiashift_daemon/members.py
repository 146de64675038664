"""The upstreams that an entry may use: local ones and lent ones."""

import attrs

from cassiashift_core import directory
from cassiashift_core import manifest
from cassiashift_core import membership
from cassiashift_core import routing
from cassiashift_daemon import lending
from cassiashift_daemon import shared_state


@attrs.frozen
class AgentAddress:
    """How to reach the agent of an upstream.

    Attributes:
        link: link address.
        epoch: start time of the agent's process; attempts for another one
            are refused.
    """

    host: str
    link: str
    epoch: int


@attrs.define(eq=False)
class Members:
    """Combines membership, lent upstreams and the manifest in force."""

    member: membership.Membership
    lent: lending.LentUpstreams
    holder: shared_state.SharedHolder

    def agent_of(self, upstream: str) -> AgentAddress | None:
        """Return the agent of a local or lent upstream, or None."""
        for record in self.member.agents():
            if any(item.upstream == upstream for item in record.upstreams):
                return AgentAddress(record.host, record.address, record.epoch)
        borrowed = self.lent.find(upstream)
        if borrowed is None:
            return None
        return AgentAddress(borrowed.host, borrowed.address, borrowed.epoch)

    def upstream_views(self) -> list[routing.UpstreamView]:
        """Return the announced upstreams that are in the manifest."""
        views = (self._upstream_view(item) for item in self._announced())
        return [view for view in views if view is not None]

    def evacuated_pools(self) -> set[str]:
        """Return the pools that evacuations leave without an upstream.

        Upstreams of other data centres count once some are borrowed.
        """
        evacuated = self.holder.evacuated
        usable, lost = set(), set()
        for item in self._announced() if evacuated else ():
            view = self._upstream_view(item)
            if view is None:
                continue
            if view.alive and not view.draining:
                usable |= lending.pools(item)
            elif view.data_centre in evacuated:
                lost |= lending.pools(item)
        return lost - usable

    def _announced(self) -> list[membership.Announcement]:
        announced = dict(self.lent.announcements())
        announced.update(self.member.upstreams())
        return list(announced.values())

    def local_pools(self) -> set[str]:
        """Return the pools with a usable upstream in this data centre."""
        return {
            pool
            for item in self.member.upstreams().values()
            if item.healthy
            and not item.draining
            and self.member.cfg.data_centre not in self.holder.evacuated
            and item.upstream not in self.holder.drains
            for pool in lending.pools(item)
        }

    def entry_views(self) -> list[directory.EntryView]:
        """Return the data centre's entries that the directory may list."""
        return [
            directory.EntryView(
                id=record.host,
                address=record.http,
                data_centre=self.member.cfg.data_centre,
            )
            for record in self.member.usable_entries()
            if record.http
        ]

    def _upstream_view(
        self, announced: membership.Announcement
    ) -> routing.UpstreamView | None:
        expected = self.holder.view.upstream(announced.upstream)
        if expected is None:
            return None
        draining = (
            announced.draining
            or expected.id in self.holder.drains
            or expected.data_centre in self.holder.evacuated
        )
        return routing.UpstreamView(
            id=expected.id,
            host=expected.host,
            data_centre=expected.data_centre,
            kind=expected.kind,
            role=expected.role,
            offers=expected.offers,
            service=expected.service,
            concurrency=expected.concurrency,
            draining=draining,
            alive=announced.healthy,
        )


def build_announcement(
    upstream: str,
    expected: manifest.Upstream | None,
    healthy: bool,
    draining: bool,
) -> membership.Announcement:
    """Return what an agent announces of an upstream.

    What the upstream serves comes from the manifest. An upstream that is
    not in it is announced without, so that operators can see it.
    """
    if expected is None:
        return membership.Announcement(
            upstream, healthy=healthy, draining=draining
        )
    return membership.Announcement(
        upstream=upstream,
        kind=expected.kind.value,
        role=expected.role.value,
        offers=expected.offers,
        service=expected.service or '',
        concurrency=expected.concurrency,
        draining=draining,
        healthy=healthy,
    )
