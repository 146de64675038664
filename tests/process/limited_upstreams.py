"""Load on an upstream that names a limit of requests a second."""

import asyncio
import random
import time

import attrs

from tests.process import platform_site

# Bounds of the users' rule for an upstream that names a limit.
CONTACT_S = 3.0
WINDOW_S = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_REQUESTS = 5


def most_in_window(times, since, window_s=WINDOW_S):
    """Return the most times in any window that begins after ``since``."""
    times = sorted(at for at in times if at >= since)
    most = first = 0
    for last, at in enumerate(times):
        while times[first] <= at - window_s:
            first += 1
        most = max(most, last - first + 1)
    return most


def allowed(limit_per_s):
    """Return the requests that may arrive in a window."""
    return ALLOWED_FACTOR * WINDOW_S * limit_per_s + ALLOWED_REQUESTS


@attrs.define(eq=False)
class LimitedDay:
    """Requests at random entries while the upstream names a limit.

    Attributes:
        outcomes: time, status and seconds of each request.
    """

    site: platform_site.Site
    rng: random.Random
    outcomes: list = attrs.field(factory=list)
    _count: int = 0

    async def run(self, seconds, per_s):
        """Send requests for some seconds."""
        ends_at = time.monotonic() + seconds
        tasks = []
        while time.monotonic() < ends_at:
            tasks.append(asyncio.ensure_future(self._send()))
            await asyncio.sleep(self.rng.expovariate(per_s))
        await asyncio.gather(*tasks)

    def served(self, since):
        """Return the number of requests answered after a time."""
        return sum(
            at >= since and status == 200 for at, status, _ in self.outcomes
        )

    async def _send(self):
        self._count += 1
        entry = self.rng.choice(self.site.entries)
        route = self.rng.choice(['read', 'book'])
        at = time.monotonic()
        status, _ = await self.site.call(entry, route, f'l{self._count}')
        self.outcomes.append((at, status, time.monotonic() - at))
