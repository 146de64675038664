"""Stand-in of a runner that is cold after its start, after PROTOCOL.md."""

import asyncio
import time

from support2 import service


class ColdRunner(service.Runner):
    """A runner that counts what arrives while it is cold.

    Attributes:
        cold_until: monotonic time until which it is cold.
        cold_arrivals: times of the requests that arrived while it was cold
            and that it has not turned away with 421.
    """

    def __init__(self, *values, crashes_above, **fields):
        """Describe a runner that is warm and not started yet."""
        super().__init__(*values, **fields)
        self.crashes_above = crashes_above
        self.cut = 0
        self._has_crashed = False
        self.cold_until = 0.0
        self.cold_arrivals = []

    def heartbeat(self):
        """Return the next heartbeat, with the time that it stays cold."""
        left_s = max(0.0, self.cold_until - time.monotonic())
        return super().heartbeat() | {'coldRemainingMs': int(1000 * left_s)}

    def health_headers(self):
        """Return the headers of an answer to a health check."""
        left_s = max(0.0, self.cold_until - time.monotonic())
        cold_ms = str(int(1000 * left_s))
        return super().health_headers() | {'Cassiashift-Cold-Ms': cold_ms}

    async def _handle(self, request):
        if request.path == '/healthz':
            return await super()._handle(request)
        expected = request.headers.get('Cassiashift-Expect-Instance', self.id)
        now = time.monotonic()
        if now < self.cold_until and expected == self.id:
            self.cold_arrivals.append(now)
            self._crash_if_pressed(now)
        return await super()._handle(request)

    def _crash_if_pressed(self, now):
        """End all connections if too many requests arrive."""
        recent = sum(at > now - 1.0 for at in self.cold_arrivals)
        if recent > self.crashes_above and not self._has_crashed:
            self._has_crashed = True
            self.cut = self.running
            asyncio.get_running_loop().call_soon(self.abort)


def most_in_second(times):
    """Return the highest number of times within any second."""
    return max(
        (sum(at <= other < at + 1.0 for other in times) for at in times),
        default=0,
    )
