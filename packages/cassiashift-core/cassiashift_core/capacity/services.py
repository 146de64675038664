"""The concurrency limits of all services of a configuration."""

from collections.abc import Callable

import attrs

from cassiashift_core.capacity import limiter
from cassiashift_core import routes


@attrs.define
class ServiceLimits:
    """Concurrency limits of the services with an engine and a gap objective.

    Other services have no limit here.
    """

    limiters: dict[str, limiter.ConcurrencyLimiter] = attrs.field(factory=dict)
    _table: routes.RouteTable | None = None

    def apply_table(self, table: routes.RouteTable) -> None:
        """Apply a configuration; the one in use already changes nothing."""
        if table is self._table:
            return
        self._table = table
        limiters = {}
        for service in table.services:
            objective_s = table.shortest_gap_s(service.name)
            if service.engine is None or not objective_s:
                continue
            held = self.limiters.get(service.name)
            if held is None:
                held = limiter.ConcurrencyLimiter(
                    service.engine.slots, objective_s
                )
            held.configure(
                service.engine.slots,
                objective_s,
                service.engine.step_s,
                service.engine.step_per_request_s,
            )
            limiters[service.name] = held
        self.limiters = limiters

    def limit(self, service: str) -> float | None:
        """Return the limit of a service; None if it has none."""
        held = self.limiters.get(service)
        return None if held is None else held.limit

    def record_pause(self, service: str, stream: int, pause_s: float) -> None:
        """Record a pause between two events of a stream of a service."""
        held = self.limiters.get(service)
        if held is not None:
            held.record_pause(stream, pause_s)

    def update(
        self, now: float, hold_s: Callable[[str], float]
    ) -> list[tuple[str, float]]:
        """Evaluate the pauses; return the services whose limit changed.

        Each comes with its limit before the change.

        Args:
            hold_s: returns the mean time that a request of a service occupies
                a slot.
        """
        changed = []
        for name, held in self.limiters.items():
            before = held.limit
            if held.update(now, hold_s(name)) and held.limit != before:
                changed.append((name, before))
        return changed
