"""Filters the events of several processes and merges them."""

from collections.abc import Iterable

import attrs

from cassiashift_core.timeline import events


@attrs.frozen
class Filter:
    """Selects events; an attribute that is empty or None matches all.

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
        """Return whether an event matches every attribute."""
        for name in ('request', 'workspace', 'group', 'host'):
            expected = getattr(self, name)
            if expected and getattr(event, name) != expected:
                return False
        wall_us = event.clock.wall_us
        if self.since_us is not None and wall_us < self.since_us:
            return False
        return self.until_us is None or wall_us <= self.until_us


def merge(
    sources: Iterable[Iterable[events.Event]],
    event_filter: Filter | None = None,
) -> list[events.Event]:
    """Return the matching events of all sources in causal order.

    An event that several sources hold is returned once.
    """
    event_filter = event_filter or Filter()
    by_order = {
        event.order: event
        for source in sources
        for event in source
        if event_filter.accepts(event)
    }
    return [by_order[order] for order in sorted(by_order)]
