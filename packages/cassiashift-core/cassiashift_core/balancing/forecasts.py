"""Forecasts of a layer's expert loads from the windows that are past.

Log-popularity is modelled as a mean-reverting autoregression of the first
order, AR(1), observed with sampling noise and filtered as by Kalman, "A new
approach to linear filtering and prediction problems", 1960. The parameters
are pooled over the experts of a layer and are medians over windows, so that a
single change of all popularities does not look like lasting drift.
"""

import attrs
import numpy as np

BROAD_CHANGE = 9.0
LOOKAHEAD_WINDOWS = 4.0
MIN_CORRELATION = 0.5
MIN_TOKENS = 0.5
NOISE_SIGMAS = 6.0
OUTLIER_SCALE = 6.0
OUTLIER_SHARE = 0.1
PRIOR_INNOVATION = 0.04
RECENT_WINDOWS = 32
TO_STANDARD_DEVIATION = 1.4826


@attrs.frozen(eq=False)
class Forecast:
    """The loads expected in the next window, as shares of the layer.

    Attributes:
        mean: expected share of each expert in the next window.
        variance: variance of each share over the windows in which a
            placement is likely to stay.
        horizon: windows over which a balance is expected to last.
    """

    mean: np.ndarray
    variance: np.ndarray
    horizon: float


@attrs.define(eq=False)
class LoadFilter:
    """Filter one layer's windows; gaps may be left out.

    Attributes:
        state: estimated log-popularity, centred on its median.
        innovations: recent variances of the change from window to window.
    """

    max_horizon: float
    state: np.ndarray | None = None
    uncertainty: float = 0.0
    innovations: list[float] = attrs.field(factory=list)
    sampling: float = 0.0
    _gap: int = 0
    _suspects: np.ndarray | None = None
    _previous: np.ndarray | None = None

    def observe(self, tokens: np.ndarray) -> None:
        """Take in the tokens of one window.

        A window without tokens is a gap. Experts that are not reported are
        NaN, and keep their estimate.
        """
        known = np.isfinite(tokens)
        if np.nansum(tokens) <= 0:
            self._gap += 1
            return
        counts = np.where(known, tokens, np.nanmedian(tokens))
        observed = np.log(np.maximum(counts, MIN_TOKENS))
        observed = observed - np.median(observed)
        self.sampling = float(np.mean(1.0 / np.maximum(counts, 1.0)))
        if self.state is None:
            self.state = observed
            self.uncertainty = self.sampling
            self._previous = observed
            return
        observed = np.where(known, observed, self.state)
        self._update(self._without_transients(observed))
        self._gap = 0

    def forecast(self) -> Forecast:
        """Return the forecast of the next window."""
        signal = self._signal()
        innovation = self._innovation()
        correlation = 1.0
        if signal > 0:
            correlation = max(
                MIN_CORRELATION, 1.0 - innovation / (2.0 * signal)
            )
        centre = self.state.mean()
        shrink = correlation if signal > 0 else 0.0
        logs = centre + shrink * (self.state - centre)
        spread = (
            LOOKAHEAD_WINDOWS * innovation + self.uncertainty + self.sampling
        )
        mean = np.exp(logs)
        mean = mean / mean.sum()
        return Forecast(
            mean=mean,
            variance=mean**2 * np.expm1(spread),
            horizon=min(self.max_horizon, 1.0 / max(1.0 - correlation, 1e-6)),
        )

    def _innovation(self) -> float:
        if not self.innovations:
            return PRIOR_INNOVATION
        return float(np.median(self.innovations))

    def _signal(self) -> float:
        """Return the variance over experts that sampling cannot explain."""
        variance = float(np.var(self.state))
        count = len(self.state)
        limit = 1.0 + NOISE_SIGMAS * np.sqrt(2.0 / count)
        noise = max(self.uncertainty, 1e-12)
        if variance <= noise * limit:
            return 0.0
        return variance - noise

    def _without_transients(self, observed: np.ndarray) -> np.ndarray:
        """Replace sudden changes of few experts until they persist."""
        change = observed - self.state
        scale = TO_STANDARD_DEVIATION * np.median(np.abs(change))
        scale = max(scale, np.sqrt(2.0 * self.sampling))
        suspects = np.abs(change) > OUTLIER_SCALE * scale
        if suspects.mean() > OUTLIER_SHARE:
            suspects = np.zeros_like(suspects)
        before = self._suspects
        self._suspects = suspects
        fresh = suspects if before is None else suspects & ~before
        return np.where(fresh, self.state, observed)

    def _update(self, observed: np.ndarray) -> None:
        change = observed - self._previous
        self._previous = observed
        drift = max(0.0, float(np.var(change)) - 2.0 * self.sampling)
        if drift < 3.0 * self.sampling * np.sqrt(2.0 / len(change)):
            drift = 0.0
        usual = self._innovation() + 2.0 * self.sampling
        drift /= 1.0 + self._gap
        self.innovations.append(drift)
        del self.innovations[:-RECENT_WINDOWS]
        if drift > BROAD_CHANGE * usual:
            self.state = observed
            self.uncertainty = self.sampling
            return
        prior = self.uncertainty + self._innovation() * (1.0 + self._gap)
        gain = prior / (prior + self.sampling)
        self.state = self.state + gain * (observed - self.state)
        self.uncertainty = (1.0 - gain) * prior
