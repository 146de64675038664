"""Forecasts a layer's expert loads from past windows.

The logarithm of each expert's popularity is modelled as a mean-reverting
autoregression of the first order, AR(1), which is observed with sampling
noise and estimated by a filter as in Kalman, "A new approach to linear
filtering and prediction problems", 1960. The parameters are shared by the
experts of a layer and are medians over windows, so that one sudden change of
all popularities is not mistaken for lasting drift.
"""

import attrs
import numpy as np

BROAD_CHANGE_RATIO = 9.0
LOOKAHEAD_WINDOWS = 4.0
MIN_CORRELATION = 0.5
MIN_TOKENS = 0.5
NOISE_SIGMAS = 6.0
OUTLIER_DEVIATIONS = 6.0
OUTLIER_SHARE = 0.1
PRIOR_INNOVATION_VARIANCE = 0.04
INNOVATION_WINDOWS = 32
MAD_TO_STANDARD_DEVIATION = 1.4826


@attrs.frozen(eq=False)
class Forecast:
    """Expected loads of the experts, as shares of the layer's load.

    Attributes:
        mean: expected share of each expert in the next window.
        variance: variance of each share over the windows for which a
            placement is likely to stay in force.
        horizon_windows: windows for which a balance is expected to last.
    """

    mean: np.ndarray
    variance: np.ndarray
    horizon_windows: float


@attrs.define(eq=False)
class LoadFilter:
    """Kalman filter of one layer's log-popularities; tolerates gaps.

    Attributes:
        max_horizon_windows: upper limit of a forecast's horizon.
        state: estimated log-popularity, centred on its median.
        state_variance: variance of the estimate's error.
        innovation_variances: variances of the recent changes from window to
            window, without sampling noise.
        sampling_variance: variance of the sampling noise in the last window.
    """

    max_horizon_windows: float
    state: np.ndarray | None = None
    state_variance: float = 0.0
    innovation_variances: list[float] = attrs.field(factory=list)
    sampling_variance: float = 0.0
    _gap_windows: int = 0
    _suspects: np.ndarray | None = None
    _previous_observed: np.ndarray | None = None

    def observe(self, tokens: np.ndarray) -> None:
        """Update the estimate with the tokens of one window.

        A window without tokens counts as a gap. Experts that are not
        reported are NaN and keep their estimate.
        """
        reported = np.isfinite(tokens)
        if np.nansum(tokens) <= 0:
            self._gap_windows += 1
            return
        counts = np.where(reported, tokens, np.nanmedian(tokens))
        observed = np.log(np.maximum(counts, MIN_TOKENS))
        observed = observed - np.median(observed)
        self.sampling_variance = float(np.mean(1.0 / np.maximum(counts, 1.0)))
        if self.state is None:
            self.state = observed
            self.state_variance = self.sampling_variance
            self._previous_observed = observed
            return
        observed = np.where(reported, observed, self.state)
        self._update(self._without_transients(observed))
        self._gap_windows = 0

    def forecast(self) -> Forecast:
        """Return the forecast from the windows observed so far."""
        signal_variance = self._signal_variance()
        innovation_variance = self._innovation_variance()
        correlation = 1.0
        if signal_variance > 0:
            correlation = max(
                MIN_CORRELATION,
                1.0 - innovation_variance / (2.0 * signal_variance),
            )
        centre = self.state.mean()
        shrink = correlation if signal_variance > 0 else 0.0
        log_popularity = centre + shrink * (self.state - centre)
        log_variance = (
            LOOKAHEAD_WINDOWS * innovation_variance
            + self.state_variance
            + self.sampling_variance
        )
        mean = np.exp(log_popularity)
        mean = mean / mean.sum()
        return Forecast(
            mean=mean,
            variance=mean**2 * np.expm1(log_variance),
            horizon_windows=min(
                self.max_horizon_windows, 1.0 / max(1.0 - correlation, 1e-6)
            ),
        )

    def _innovation_variance(self) -> float:
        if not self.innovation_variances:
            return PRIOR_INNOVATION_VARIANCE
        return float(np.median(self.innovation_variances))

    def _signal_variance(self) -> float:
        """Return the variance over experts that is not explained by noise.

        It is zero unless it is significant.
        """
        variance = float(np.var(self.state))
        count = len(self.state)
        limit = 1.0 + NOISE_SIGMAS * np.sqrt(2.0 / count)
        noise = max(self.state_variance, 1e-12)
        if variance <= noise * limit:
            return 0.0
        return variance - noise

    def _without_transients(self, observed: np.ndarray) -> np.ndarray:
        """Return the window without a few experts' sudden new changes.

        Such a change is accepted in its second window. Changes of more than
        ``OUTLIER_SHARE`` of the experts are kept.
        """
        change = observed - self.state
        scale = MAD_TO_STANDARD_DEVIATION * np.median(np.abs(change))
        scale = max(scale, np.sqrt(2.0 * self.sampling_variance))
        suspects = np.abs(change) > OUTLIER_DEVIATIONS * scale
        if suspects.mean() > OUTLIER_SHARE:
            suspects = np.zeros_like(suspects)
        previous_suspects = self._suspects
        self._suspects = suspects
        new_suspects = (
            suspects
            if previous_suspects is None
            else suspects & ~previous_suspects
        )
        return np.where(new_suspects, self.state, observed)

    def _update(self, observed: np.ndarray) -> None:
        """Update the state; replace it after a broad change of the loads."""
        change = observed - self._previous_observed
        self._previous_observed = observed
        change_variance = max(
            0.0, float(np.var(change)) - 2.0 * self.sampling_variance
        )
        if change_variance < 3.0 * self.sampling_variance * np.sqrt(
            2.0 / len(change)
        ):
            change_variance = 0.0
        expected_change = (
            self._innovation_variance() + 2.0 * self.sampling_variance
        )
        change_variance /= 1.0 + self._gap_windows
        self.innovation_variances.append(change_variance)
        del self.innovation_variances[:-INNOVATION_WINDOWS]
        if change_variance > BROAD_CHANGE_RATIO * expected_change:
            self.state = observed
            self.state_variance = self.sampling_variance
            return
        prior_variance = self.state_variance + self._innovation_variance() * (
            1.0 + self._gap_windows
        )
        gain = prior_variance / (prior_variance + self.sampling_variance)
        self.state = self.state + gain * (observed - self.state)
        self.state_variance = (1.0 - gain) * prior_variance
