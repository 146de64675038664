"""A stand-in for a lock-step group of engines, one for each rank."""

import asyncio
import base64
import http

import aiohttp
from aiohttp import web
import attrs
import msgspec
import numpy

from cassiashift_core.balancing import maps

CORRELATION = 0.97
DEVIATION = 0.8
POLL_INTERVAL_S = 0.02
TOKENS_PER_STEP = 4096


@attrs.define(eq=False)
class Popularity:
    """Shares of the experts of each layer, which drift from step to step."""

    experts: int
    layers: int
    seed: int
    correlation: float = CORRELATION
    deviation: float = DEVIATION
    _rng: numpy.random.Generator = attrs.field(init=False)
    _logs: numpy.ndarray = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Draw the first state."""
        self._rng = numpy.random.default_rng(self.seed)
        self._logs = self._drawn()

    def advance(self) -> None:
        """Let the popularity drift by one step."""
        noise = (1 - self.correlation**2) ** 0.5
        self._logs = self.correlation * self._logs + noise * self._drawn()

    def loads(self, placement: maps.ExpertMap) -> dict[str, float]:
        """Return each rank's load over the mean load of the ranks."""
        shares = numpy.exp(self._logs)
        shares /= shares.sum(axis=1, keepdims=True)
        loads = numpy.zeros(len(placement.ranks))
        for rows, layer in zip(placement.layers, shares, strict=True):
            held = numpy.zeros((len(rows), self.experts))
            for rank, row in enumerate(rows):
                held[rank, list(row)] = 1
            loads += held @ (layer / held.sum(axis=0))
        loads /= loads.mean()
        return dict(zip(placement.ranks, loads.tolist(), strict=True))

    def tokens(self, count: int) -> list[list[int]]:
        """Return about so many tokens for each layer, by expert."""
        shares = numpy.exp(self._logs)
        shares /= shares.sum(axis=1, keepdims=True)
        return numpy.rint(shares * count).astype(int).tolist()

    def _drawn(self) -> numpy.ndarray:
        shape = (self.layers, self.experts)
        return self._rng.normal(0.0, self.deviation, shape)


@attrs.define(eq=False)
class RankEngine:
    """The engine of one rank.

    Attributes:
        load_s: time to load the weights of a version.
        refused: orders with an older fencing number than one seen before.
        unloaded: steps that were to run on a version that is not loaded.
    """

    rank: str
    load_s: float = 0.0
    loaded: dict[int, maps.ExpertMap] = attrs.field(factory=dict)
    refused: int = 0
    unloaded: int = 0
    _highest: tuple[int, int] = (0, 0)

    def app(self) -> web.Application:
        """Return the engine's HTTP application."""
        app = web.Application()
        app.add_routes(
            [
                web.get('/health', self.health),
                web.post('/orders/load', self.load),
                web.post('/orders/drop', self.drop),
                web.post('/orders/activate', self.activate),
            ]
        )
        return app

    async def health(self, req: web.Request) -> web.Response:
        """Tell that the engine runs."""
        return web.json_response({'loaded': sorted(self.loaded)})

    async def load(self, req: web.Request) -> web.Response:
        """Load the weights of a version."""
        order = await self._order(req)
        if order['version'] not in self.loaded:
            await asyncio.sleep(self.load_s)
            body = base64.b64decode(order['map'])
            self.loaded[order['version']] = maps.ExpertMap.from_bytes(body)
        return web.json_response({})

    async def drop(self, req: web.Request) -> web.Response:
        """Drop the weights of a version."""
        order = await self._order(req)
        self.loaded.pop(order['version'], None)
        return web.json_response({})

    async def activate(self, req: web.Request) -> web.Response:
        """Take note of the first step of a version."""
        await self._order(req)
        return web.json_response({})

    async def _order(self, req: web.Request) -> dict:
        order = msgspec.json.decode(await req.read())
        fence = (order['fence']['term'], order['fence']['index'])
        if fence < self._highest:
            self.refused += 1
            raise web.HTTPConflict(text='an older fencing number')
        self._highest = fence
        return order


@attrs.define(eq=False)
class LockStepGroup:
    """Ranks that all start a step before any starts the next one.

    Attributes:
        steps_urls: where each rank asks for its steps.
        step_s: time of a step of a rank with the mean load.
        versions: for each step, the version that each rank used.
        skews: for each step, the hottest rank's load over the mean.
    """

    engines: dict[str, RankEngine]
    steps_urls: dict[str, str]
    popularity: Popularity
    step_s: float = 0.005
    versions: list[dict[str, int]] = attrs.field(factory=list)
    skews: list[float] = attrs.field(factory=list)

    async def run(self, session: aiohttp.ClientSession) -> None:
        """Run one step after the other until cancelled."""
        while True:
            step = len(self.versions)
            used = await asyncio.gather(
                *(
                    self._ask(session, rank, step, self.tokens())
                    for rank in self.engines
                )
            )
            self.versions.append(dict(zip(self.engines, used, strict=True)))
            times = [
                self._step_time(rank, version)
                for rank, version in self.versions[-1].items()
            ]
            self.skews.append(max(times) / (sum(times) / len(times)))
            await asyncio.sleep(max(times))
            self.popularity.advance()

    def tokens(self) -> list[list[int]]:
        """Return a rank's counts of the last step."""
        if not self.versions:
            return []
        return self.popularity.tokens(TOKENS_PER_STEP)

    def mixed_steps(self) -> list[int]:
        """Return the steps that ran on more than one version."""
        return [
            step
            for step, used in enumerate(self.versions)
            if len(set(used.values())) != 1
        ]

    def _step_time(self, rank: str, version: int) -> float:
        engine = self.engines[rank]
        if version not in engine.loaded:
            engine.unloaded += 1
            return self.step_s
        loads = self.popularity.loads(engine.loaded[version])
        return self.step_s * loads[rank]

    async def _ask(
        self,
        session: aiohttp.ClientSession,
        rank: str,
        step: int,
        tokens: list,
    ) -> int:
        """Return the version of a step, asking until there is one."""
        url = f'{self.steps_urls[rank]}/v1/ranks/{rank}/steps'
        wish = {'step': step, 'tokens': tokens}
        while True:
            try:
                async with session.post(url, json=wish) as resp:
                    if resp.status == http.HTTPStatus.OK:
                        return (await resp.json())['version']
            except (aiohttp.ClientError, TimeoutError):
                pass
            await asyncio.sleep(POLL_INTERVAL_S)
