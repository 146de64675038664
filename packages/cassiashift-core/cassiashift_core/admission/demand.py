"""Measures the token demand of each workspace at one entry."""

import attrs

from cassiashift_core.admission import shares

SMOOTHING_FACTOR = 0.5


@attrs.define
class DemandMeter:
    """Exponentially smoothed tokens a second of each workspace's calls."""

    entry: str
    _offered: dict[str, float] = attrs.field(factory=dict, init=False)
    _rates: dict[str, float] = attrs.field(factory=dict, init=False)
    _period_start: float | None = attrs.field(default=None, init=False)

    def record_call(self, workspace: str, tokens: float) -> None:
        """Add the tokens of an arrived call, whether it is admitted or not."""
        total = self._offered.get(workspace, 0.0)
        self._offered[workspace] = total + tokens

    def finish_period(self, now: float) -> list[shares.DemandSummary]:
        """End the period and return the smoothed demands.

        A workspace below 1 token a second is dropped, so the number of
        summaries is bounded by the active workspaces.
        """
        elapsed = (
            1.0 if self._period_start is None else now - self._period_start
        )
        self._period_start = now
        for workspace in set(self._offered) | set(self._rates):
            rate = self._offered.get(workspace, 0.0) / max(elapsed, 1e-3)
            previous = self._rates.get(workspace, rate)
            self._rates[workspace] = previous + SMOOTHING_FACTOR * (
                rate - previous
            )
        self._offered.clear()
        for workspace, rate in list(self._rates.items()):
            if rate < 1.0:
                del self._rates[workspace]
        return [
            shares.DemandSummary(self.entry, workspace, self._rates[workspace])
            for workspace in sorted(self._rates)
        ]
