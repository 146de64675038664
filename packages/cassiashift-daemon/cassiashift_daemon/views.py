"""Views of members and manifest for the decisions."""

from cassiashift_core import directory
from cassiashift_core import manifest
from cassiashift_core import routing
from cassiashift_daemon import members
from cassiashift_daemon import shared_state
from cassiashift_net import messages


def upstream_views(
    holder: shared_state.SharedHolder, known: members.Members
) -> list[routing.UpstreamView]:
    """Return the upstreams that the manifest expects."""
    if holder.manifest is None:
        return []
    announced = known.upstreams()
    return [
        _upstream_view(item, announced.get(item.id), holder.shared.drains)
        for item in holder.manifest.upstreams
    ]


def entry_views(
    own: messages.EntryState, known: members.Members
) -> list[directory.EntryView]:
    """Return this entry and the other live ones."""
    states = [own]
    states.extend(record.state for record in known.entries.values())
    return [
        directory.EntryView(
            id=item.host,
            address=item.http,
            data_centre=item.data_centre,
            draining=item.draining,
        )
        for item in states
    ]


def _upstream_view(
    item: manifest.Upstream,
    announced: messages.UpstreamState | None,
    drains: set[str],
) -> routing.UpstreamView:
    draining = item.id in drains
    if announced is not None:
        draining = draining or announced.draining
    return routing.UpstreamView(
        id=item.id,
        host=item.host,
        data_centre=item.data_centre,
        kind=item.kind,
        role=item.role,
        offers=item.offers,
        service=item.service,
        concurrency=item.concurrency,
        draining=draining,
        alive=announced is not None and announced.healthy,
    )
