"""Merging the events of several processes, and filters."""

from collections.abc import Iterable

import attrs

from cassiashift_core.timeline import events


@attrs.frozen
class Filter:
    """Which events to show; an empty attribute lets all pass.

    Attributes:
        since_us: earliest wall time in microseconds since 1970.
        until_us: latest wall time in microseconds since 1970.
    """

    request: str = ''
    workspace: str = ''
    group: str = ''
    host: str = ''
    since_us: int | None = None
    until_us: int | None = None

    def accepts(self, event: events.Event) -> bool:
        """Tell whether an event passes."""
        for name in ('request', 'workspace', 'group', 'host'):
            wanted = getattr(self, name)
            if wanted and getattr(event, name) != wanted:
                return False
        wall_us = event.clock.wall_us
        if self.since_us is not None and wall_us < self.since_us:
            return False
        return self.until_us is None or wall_us <= self.until_us


def merge(
    sources: Iterable[Iterable[events.Event]], chosen: Filter | None = None
) -> list[events.Event]:
    """Return the events of all sources in causal order, each once."""
    chosen = chosen or Filter()
    found = {
        event.order: event
        for source in sources
        for event in source
        if chosen.accepts(event)
    }
    return [found[order] for order in sorted(found)]
