"""Demand of workspaces at one entry, summed up for the granters."""

import attrs

from cassiashift_core.admission import shares

SMOOTHING = 0.5


@attrs.define
class DemandMeter:
    """Smoothed tokens a second that each workspace offers at an entry."""

    entry: str
    _offered: dict[str, float] = attrs.field(factory=dict, init=False)
    _rates: dict[str, float] = attrs.field(factory=dict, init=False)
    _since: float | None = attrs.field(default=None, init=False)

    def offered(self, workspace: str, tokens: float) -> None:
        """Count a call that arrived, admitted or not."""
        total = self._offered.get(workspace, 0.0)
        self._offered[workspace] = total + tokens

    def summaries(self, now: float) -> list[shares.DemandSummary]:
        """Return the demands and start the next period.

        A workspace whose demand has faded is left out, so the summaries
        grow with the active workspaces only.
        """
        elapsed = 1.0 if self._since is None else now - self._since
        self._since = now
        for workspace in set(self._offered) | set(self._rates):
            rate = self._offered.get(workspace, 0.0) / max(elapsed, 1e-3)
            known = self._rates.get(workspace, rate)
            self._rates[workspace] = known + SMOOTHING * (rate - known)
        self._offered.clear()
        for workspace, rate in list(self._rates.items()):
            if rate < 1.0:
                del self._rates[workspace]
        return [
            shares.DemandSummary(self.entry, workspace, self._rates[workspace])
            for workspace in sorted(self._rates)
        ]
