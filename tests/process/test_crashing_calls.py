"""Tests of calls through agents that crash upstreams."""

import asyncio
import random
import time

import aiohttp
import attrs
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from tests.process import conftest as harness

pytestmark = pytest.mark.process

# Bounds of the users' rule.
CONTACT_S = 3.0
CRASHES = 3
MAX_LATE_ARRIVALS = 3
DAY_S = 18.0
CRASHING_PER_S = 3.0
DOWN_S = 1.5
WORK_S = 0.03
UPSTREAMS = ('warehouse-1', 'warehouse-2')
REFERENCE = 'crash'


@attrs.define(eq=False)
class CrashingWarehouses:
    """The plain services of a deployment, which crash on one item.

    Attributes:
        arrivals: times of calls for that item.
        crashes: times of crashes on them.
    """

    cluster: object
    arrivals: list = attrs.field(factory=list)
    crashes: list = attrs.field(factory=list)
    _down: set = attrs.field(factory=set)
    _tasks: list = attrs.field(factory=list)

    def install(self):
        """Let the stand-ins crash from now on."""
        for name in UPSTREAMS:
            standin = self.cluster.standins[name]
            standin.on_arrival = self._hook(name)

    def _hook(self, name):
        async def arrive(key):
            if key != REFERENCE:
                return
            self.arrivals.append(time.monotonic())
            await asyncio.sleep(WORK_S)
            if name not in self._down:
                self.crashes.append(time.monotonic())
                self._tasks.append(asyncio.ensure_future(self._crash(name)))
            await asyncio.sleep(DOWN_S)

        return arrive

    async def _crash(self, name):
        self._down.add(name)
        await self.cluster.servers.crash(self.cluster.urls[name], DOWN_S)
        self._down.discard(name)


async def _send(deployment, rng, method, path, body=None):
    """Send a call to any entry; return its status, 0 without an answer."""
    url = rng.choice(deployment.cluster.entry_urls())
    headers = {'Authorization': f'Bearer {harness.KEY}'}
    try:
        async with deployment.session.request(
            method,
            f'{url}/v1/services/warehouse/{path}',
            json=body,
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=3.0),
        ) as response:
            await response.read()
            return response.status
    except (aiohttp.ClientError, TimeoutError):
        return 0


@pytest.mark.parametrize(
    ('method', 'path', 'body'),
    [
        ('GET', f'stock/{REFERENCE}', None),
        ('POST', 'bookings', {'reference': REFERENCE}),
    ],
)
async def test_a_call_that_crashes_upstreams_goes_on_reaching_them(
    deployment, method, path, body
):
    rng = random.Random(1)
    warehouses = CrashingWarehouses(deployment.cluster)
    warehouses.install()
    ends_at = time.monotonic() + DAY_S
    sound = []

    async def send_crashing():
        while time.monotonic() < ends_at:
            await _send(deployment, rng, method, path, body)
            await asyncio.sleep(rng.uniform(0.5, 1.5) / CRASHING_PER_S)

    async def send_sound():
        while time.monotonic() < ends_at:
            at = time.monotonic()
            status = await _send(deployment, rng, 'GET', 'stock/butter')
            sound.append((at, status == 200))
            await asyncio.sleep(0.1)

    await asyncio.gather(send_crashing(), send_crashing(), send_sound())
    third = warehouses.crashes[:CRASHES][-1]
    late = [at for at in warehouses.arrivals if at > third + CONTACT_S]
    assert_that(len(late), matchers.LessThan(MAX_LATE_ARRIVALS + 1))
    served = [ok for at, ok in sound if at > third + 2 * CONTACT_S]
    assert_that(sum(served) / len(served), matchers.GreaterThan(0.5))
