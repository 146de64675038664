"""The upstreams that an entry may use, near and lent."""

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
        epoch: the start of the agent, for which attempts are meant.
    """

    host: str
    link: str
    epoch: int


@attrs.define(eq=False)
class Members:
    """Joins membership, lent upstreams and the manifest in force."""

    member: membership.Membership
    lent: lending.LentUpstreams
    holder: shared_state.SharedHolder

    def agent_of(self, upstream: str) -> AgentAddress | None:
        """Return the agent of an upstream."""
        for record in self.member.agents():
            if any(item.upstream == upstream for item in record.upstreams):
                return AgentAddress(record.host, record.address, record.epoch)
        found = self.lent.find(upstream)
        if found is None:
            return None
        return AgentAddress(found.host, found.address, found.epoch)

    def upstream_views(self) -> list[routing.UpstreamView]:
        """Return the announced upstreams that the manifest expects."""
        announced = dict(self.lent.announcements())
        announced.update(self.member.upstreams())
        views = (self._view(item) for item in announced.values())
        return [view for view in views if view is not None]

    def local_pools(self) -> set[str]:
        """Return the pools that the data centre's upstreams can serve."""
        return {
            pool
            for item in self.member.upstreams().values()
            if item.healthy
            and not item.draining
            and item.upstream not in self.holder.drains
            for pool in lending.pools(item)
        }

    def entry_views(self) -> list[directory.EntryView]:
        """Return the entries of the data centre that may be named."""
        return [
            directory.EntryView(
                id=record.host,
                address=record.http,
                data_centre=self.member.cfg.data_centre,
            )
            for record in self.member.usable_entries()
            if record.http
        ]

    def _view(
        self, announced: membership.Announcement
    ) -> routing.UpstreamView | None:
        expected = self.holder.view.upstream(announced.upstream)
        if expected is None:
            return None
        draining = announced.draining or expected.id in self.holder.drains
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


def announcement(
    upstream: str,
    expected: manifest.Upstream | None,
    healthy: bool,
    draining: bool,
) -> membership.Announcement:
    """Return what an agent announces of an upstream.

    The manifest says what an expected upstream serves; an unexpected one
    is announced bare, so that operators can see it.
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
