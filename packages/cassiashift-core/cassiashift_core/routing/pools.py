"""Pools: the upstreams of each model version or service."""

from collections.abc import Iterable
import statistics

import attrs

from cassiashift_core.routing import aperture
from cassiashift_core.routing import model
from cassiashift_core.routing import upstream

HEALTH_PERIOD_S = 0.5


@attrs.define
class Pool:
    """Upstreams of one model version or service, in ring order.

    Attributes:
        gap_s: median over upstreams of the mean time between tokens.
    """

    ring: list[str]
    gap_s: float = 0.0
    _checked_at: float = -1e9

    def check_health(
        self,
        upstreams: dict[str, upstream.UpstreamState],
        entry_aperture: aperture.Aperture,
        cfg: model.RoutingConfig,
        now: float,
    ) -> None:
        """Trip the breakers of stragglers, at most twice a second.

        Only the upstreams in the entry's aperture are checked.
        """
        if now - self._checked_at < HEALTH_PERIOD_S:
            return
        self._checked_at = now
        names = entry_aperture.select(
            self.ring, entry_aperture.width(len(self.ring))
        )
        states = [upstreams[name] for name in names]
        slowness = [state.current_slowness(now) for state in states]
        bound = cfg.slow_ratio * max(1.0, statistics.median(slowness))
        gaps = [state.gap_s for state in states if state.gap_s is not None]
        self.gap_s = statistics.median(gaps) if gaps else cfg.step_s
        for state in states:
            state.slowness_bound = bound
            state.gap_bound_s = cfg.slow_ratio * self.gap_s
            if state.is_slow(now) and not state.tripped:
                state.trip_straggler(now)


def build(views: Iterable[model.UpstreamView]) -> dict[str, Pool]:
    """Return the pools by name; an upstream may be in several."""
    members: dict[str, set[str]] = {}
    for view in views:
        if view.service is not None:
            members.setdefault(view.service, set()).add(view.id)
        for offer in view.offers:
            name = model.pool_name(offer.model, offer.version, None)
            members.setdefault(name, set()).add(view.id)
    return {
        name: Pool(aperture.ring_order(ids)) for name, ids in members.items()
    }
