"""Measures what an entry uses, to learn how many requests it can carry."""

import asyncio
import time

import attrs

from cassiashift_core import buffers
from cassiashift_core import fleet
from cassiashift_daemon.direct import config
from cassiashift_daemon import logs

# Each turn costs 0.2 ms of processor time, so 20 a second use 0.4% of a core.
LAG_INTERVAL_S = 0.05
# One turn in ten of the loop may be later than the reported delay.
LAG_QUANTILE = 0.9
BITS_PER_MBIT = 1_000_000
# Head of a request and of its answer, which ``Ledger.passed_bytes`` omits.
HEAD_BYTES = 1500


@attrs.define(eq=False)
class LoadMeter:
    """Feeds the estimate of this entry's capacity.

    Nothing is measured where the settings state no processor share.
    """

    estimator: fleet.CapacityEstimator
    ledger: buffers.Ledger
    _measured_at: float = attrs.field(factory=time.monotonic)
    _cpu_s: float = attrs.field(factory=time.process_time)
    _passed_bytes: int = 0
    _lags: list[float] = attrs.field(factory=list)

    @classmethod
    def from_config(
        cls, limits: config.HostLimits, ledger: buffers.Ledger
    ) -> 'LoadMeter':
        """Return the meter of a process with these limits."""
        supply = fleet.Supply(
            cpu_cores=limits.cpu_cores * limits.cpu_share,
            link_bytes_per_s=limits.link_mbps * BITS_PER_MBIT / 8,
            buffer_bytes=ledger.limits.process_bytes,
        )
        return cls(fleet.CapacityEstimator(supply), ledger)

    @property
    def is_enabled(self) -> bool:
        """Whether the settings state a processor share."""
        return self.estimator.supply.cpu_cores > 0

    async def measure_lag_forever(self) -> None:
        """Measure how late the loop runs what is due."""
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + LAG_INTERVAL_S
            await asyncio.sleep(LAG_INTERVAL_S)
            self._lags.append(max(0.0, loop.time() - due))

    def record(self, requests: int) -> None:
        """Record the requests since the last call and what they used."""
        if not self.is_enabled:
            return
        now, cpu_s = time.monotonic(), time.process_time()
        passed = self.ledger.passed_bytes
        lags, self._lags = sorted(self._lags), []
        lag_s = lags[int(LAG_QUANTILE * (len(lags) - 1))] if lags else 0.0
        was_slow = self.estimator.is_slow
        self.estimator.record(
            fleet.Usage(
                elapsed_s=now - self._measured_at,
                requests=requests,
                cpu_s=cpu_s - self._cpu_s,
                link_bytes=passed - self._passed_bytes + requests * HEAD_BYTES,
                buffered_bytes=self.ledger.buffered_bytes,
                typical_lag_s=lag_s,
            )
        )
        self._measured_at, self._cpu_s = now, cpu_s
        self._passed_bytes = passed
        if self.estimator.is_slow != was_slow:
            logs.warning(
                'entry_slow' if self.estimator.is_slow else 'entry_sound',
                lag_s=lag_s,
                requests=requests,
                capacity_per_s=self.estimator.capacity_per_s,
            )
