"""A stand-in for a group of engines that run steps in lock-step."""

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
    """Token shares of the experts of each layer, drifting with each step."""

    experts: int
    layers: int
    seed: int
    correlation: float = CORRELATION
    deviation: float = DEVIATION
    _rng: numpy.random.Generator = attrs.field(init=False)
    _log_shares: numpy.ndarray = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Draw the initial logarithms of the shares."""
        self._rng = numpy.random.default_rng(self.seed)
        self._log_shares = self._draw_logs()

    def advance(self) -> None:
        """Drift by one step of a first-order autoregressive process."""
        noise = (1 - self.correlation**2) ** 0.5
        self._log_shares = (
            self.correlation * self._log_shares + noise * self._draw_logs()
        )

    def loads(self, placement: maps.ExpertMap) -> dict[str, float]:
        """Return each rank's load as a multiple of the mean load."""
        shares = numpy.exp(self._log_shares)
        shares /= shares.sum(axis=1, keepdims=True)
        loads = numpy.zeros(len(placement.ranks))
        for rows, layer in zip(placement.layers, shares, strict=True):
            hosted = numpy.zeros((len(rows), self.experts))
            for rank, row in enumerate(rows):
                hosted[rank, list(row)] = 1
            loads += hosted @ (layer / hosted.sum(axis=0))
        loads /= loads.mean()
        return dict(zip(placement.ranks, loads.tolist(), strict=True))

    def tokens(self, count: int) -> list[list[int]]:
        """Return tokens by layer and expert, about ``count`` a layer."""
        shares = numpy.exp(self._log_shares)
        shares /= shares.sum(axis=1, keepdims=True)
        return numpy.rint(shares * count).astype(int).tolist()

    def _draw_logs(self) -> numpy.ndarray:
        shape = (self.layers, self.experts)
        return self._rng.normal(0.0, self.deviation, shape)


@attrs.define(eq=False)
class RankEngine:
    """The engine of one rank.

    Attributes:
        load_s: time that loading the weights of a version takes.
        refused: number of orders refused for an older fencing number.
        unloaded: number of steps with a version that was not loaded.
    """

    rank: str
    load_s: float = 0.0
    loaded: dict[int, maps.ExpertMap] = attrs.field(factory=dict)
    refused: int = 0
    unloaded: int = 0
    _highest_fence: tuple[int, int] = (0, 0)

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
        """Report the engine as healthy, with the loaded versions."""
        return web.json_response({'loaded': sorted(self.loaded)})

    async def load(self, req: web.Request) -> web.Response:
        """Load the weights of a version, unless they are loaded."""
        order = await self._read_order(req)
        if order['version'] not in self.loaded:
            await asyncio.sleep(self.load_s)
            body = base64.b64decode(order['map'])
            self.loaded[order['version']] = maps.ExpertMap.from_bytes(body)
        return web.json_response({})

    async def drop(self, req: web.Request) -> web.Response:
        """Drop the weights of a version, if they are loaded."""
        order = await self._read_order(req)
        self.loaded.pop(order['version'], None)
        return web.json_response({})

    async def activate(self, req: web.Request) -> web.Response:
        """Accept an activation; only its fencing number is checked."""
        await self._read_order(req)
        return web.json_response({})

    async def _read_order(self, req: web.Request) -> dict:
        order = msgspec.json.decode(await req.read())
        fence = (order['fence']['term'], order['fence']['index'])
        if fence < self._highest_fence:
            self.refused += 1
            raise web.HTTPConflict(text='an older fencing number')
        self._highest_fence = fence
        return order


@attrs.define(eq=False)
class LockStepGroup:
    """Runs steps that all ranks start and end together.

    Attributes:
        steps_urls: base URL of the step API by rank.
        step_s: duration of a step on a rank with the mean load.
        versions: for each step, the version that each rank used.
        skews: for each step, the largest step time of a rank over the mean.
    """

    engines: dict[str, RankEngine]
    steps_urls: dict[str, str]
    popularity: Popularity
    step_s: float = 0.005
    versions: list[dict[str, int]] = attrs.field(factory=list)
    skews: list[float] = attrs.field(factory=list)

    async def run(self, session: aiohttp.ClientSession) -> None:
        """Run steps until cancelled."""
        while True:
            step = len(self.versions)
            used_versions = await asyncio.gather(
                *(
                    self._request_step(session, rank, step, self.tokens())
                    for rank in self.engines
                )
            )
            self.versions.append(
                dict(zip(self.engines, used_versions, strict=True))
            )
            times = [
                self._step_time_s(rank, version)
                for rank, version in self.versions[-1].items()
            ]
            self.skews.append(max(times) / (sum(times) / len(times)))
            await asyncio.sleep(max(times))
            self.popularity.advance()

    def tokens(self) -> list[list[int]]:
        """Return token counts for the last step, empty before the first."""
        if not self.versions:
            return []
        return self.popularity.tokens(TOKENS_PER_STEP)

    def mixed_steps(self) -> list[int]:
        """Return the steps that ran on more than one version."""
        return [
            step
            for step, used_versions in enumerate(self.versions)
            if len(set(used_versions.values())) != 1
        ]

    def _step_time_s(self, rank: str, version: int) -> float:
        engine = self.engines[rank]
        if version not in engine.loaded:
            engine.unloaded += 1
            return self.step_s
        loads = self.popularity.loads(engine.loaded[version])
        return self.step_s * loads[rank]

    async def _request_step(
        self,
        session: aiohttp.ClientSession,
        rank: str,
        step: int,
        tokens: list,
    ) -> int:
        """Return the version to use for a step; poll until there is one."""
        url = f'{self.steps_urls[rank]}/v1/ranks/{rank}/steps'
        body = {'step': step, 'tokens': tokens}
        while True:
            try:
                async with session.post(url, json=body) as resp:
                    if resp.status == http.HTTPStatus.OK:
                        return (await resp.json())['version']
            except (aiohttp.ClientError, TimeoutError):
                pass
            await asyncio.sleep(POLL_INTERVAL_S)
