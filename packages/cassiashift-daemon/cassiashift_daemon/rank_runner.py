"""Runs the map switches of the ranks whose engines are on this host."""

import asyncio
import base64
import functools
import http
import operator
import time
from typing import Annotated
from typing import Any
import urllib.parse

import aiohttp
from aiohttp import web
import attrs
import msgspec

from cassiashift_core import CassiashiftError
from cassiashift_core import ErrorCode
from cassiashift_core import mapswitch
from cassiashift_daemon import logs
from cassiashift_daemon import peers
from cassiashift_daemon import settings
from cassiashift_daemon import shared_state
from cassiashift_net import links
from cassiashift_net import messages
from cassiashift_net import problems

TICK_INTERVAL_S = 0.05
HOLD_S = 1.0
RETRY_AFTER_S = 0.1
LOAD_TIMEOUT_S = 300.0
ORDER_TIMEOUT_S = 5.0
SHUTDOWN_TIMEOUT_S = 0.2


@attrs.frozen
class StepRequest:
    """An engine asks whether it may start a step.

    Attributes:
        tokens: tokens since the last report, by layer and expert.
    """

    step: Annotated[int, msgspec.Meta(ge=0)]
    tokens: tuple[tuple[int, ...], ...] = ()


@attrs.define(eq=False)
class _Rank:
    """One rank, and the orders that its engine has not taken yet.

    Attributes:
        changed: set, and replaced, when the rank has handled an event.
    """

    url: str
    machine: mapswitch.RankSwitch
    orders: asyncio.Queue = attrs.field(factory=asyncio.Queue)
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    worker: asyncio.Task | None = None
    tokens: list[list[int]] = attrs.field(factory=list)

    def count(self, tokens: tuple[tuple[int, ...], ...]) -> None:
        """Add tokens to those of the window."""
        if [len(row) for row in tokens] != [len(row) for row in self.tokens]:
            self.tokens = [list(row) for row in tokens]
            return
        for total, row in zip(self.tokens, tokens, strict=True):
            total[:] = map(operator.add, total, row)


@attrs.define(eq=False)
class RankRunner:
    """Connects the ranks' machines with the voters and the engines.

    A rank that the manifest has left is kept until the process ends, since
    its promises must not be forgotten within one incarnation.
    """

    cfg: settings.AgentSettings
    epoch: int
    peers: peers.Peers
    holder: shared_state.SharedHolder
    session: aiohttp.ClientSession
    _ranks: dict[tuple[str, str], _Rank] = attrs.field(factory=dict)
    _server: web.AppRunner | None = None

    async def open(self) -> None:
        """Serve the engines, if there is an address for it."""
        if not self.cfg.steps:
            return
        app = web.Application()
        app.add_routes([web.post('/v1/ranks/{rank}/steps', self._step)])
        self._server = web.AppRunner(
            app, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S
        )
        await self._server.setup()
        parts = urllib.parse.urlsplit(f'//{self.cfg.steps}')
        site = web.TCPSite(
            self._server, parts.hostname, parts.port, reuse_address=True
        )
        await site.start()

    async def close(self) -> None:
        """Stop serving engines and giving orders."""
        if self._server is not None:
            await self._server.cleanup()
        for rank in self._ranks.values():
            rank.worker.cancel()

    def tick(self) -> None:
        """Follow the manifest and tell that time has passed."""
        self._follow_groups()
        for rank in self._ranks.values():
            self._give(rank, mapswitch.Tick())

    def report_counts(self) -> None:
        """Send the voters what the ranks have counted in a window."""
        for (group, name), rank in self._ranks.items():
            if not rank.tokens:
                continue
            tokens = tuple(tuple(row) for row in rank.tokens)
            rank.tokens = []
            for voter in self.cfg.voter_addresses():
                self.peers.send(
                    voter, messages.ExpertCounts(group, name, tokens)
                )

    def received(
        self, sender: links.Sender, message: messages.RankOrder
    ) -> None:
        """Take an order of the group's coordinator."""
        order = messages.ORDERS.decode(message.data)
        rank = self._ranks.get((order.group, message.rank))
        if rank is not None:
            self._give(rank, mapswitch.Received(order))

    async def _step(self, req: web.Request) -> web.Response:
        """Answer with the version of a step once it may start."""
        try:
            wish = msgspec.json.decode(await req.read(), type=StepRequest)
            rank = self._find(req.match_info['rank'])
            version = await self._started(rank, wish.step)
            if wish.tokens:
                rank.count(wish.tokens)
        except msgspec.DecodeError as exc:
            error = CassiashiftError(ErrorCode.BAD_REQUEST, str(exc))
            return problems.response(error, '')
        except CassiashiftError as exc:
            return problems.response(exc, '')
        return web.json_response({'version': version})

    def _find(self, name: str) -> _Rank:
        found = [
            rank for (_, known), rank in self._ranks.items() if known == name
        ]
        if len(found) == 1:
            return found[0]
        raise CassiashiftError(
            ErrorCode.CONFLICT,
            f'{len(found)} ranks of this host are named {name!r}',
            retry_after_s=RETRY_AFTER_S,
        )

    async def _started(self, rank: _Rank, step: int) -> int:
        """Return the version of a step; wait for it for a while."""
        deadline = time.monotonic() + HOLD_S
        while True:
            changed = rank.changed
            now = time.monotonic()
            verdict = rank.machine.may_start(step, now)
            if isinstance(verdict, mapswitch.Proceed):
                return verdict.version
            try:
                async with asyncio.timeout(deadline - now):
                    await changed.wait()
            except TimeoutError:
                raise CassiashiftError(
                    ErrorCode.CONFLICT,
                    verdict.reason,
                    retry_after_s=RETRY_AFTER_S,
                ) from None

    def _follow_groups(self) -> None:
        urls = self.cfg.upstream_urls()
        for group_id in self.holder.view.ids('groups'):
            for item in self.holder.view.group(group_id).ranks:
                key = (group_id, item.id)
                if item.upstream in urls and key not in self._ranks:
                    self._add(key, urls[item.upstream])

    def _add(self, key: tuple[str, str], url: str) -> None:
        group, name = key
        cfg = mapswitch.RankConfig(group, name, str(self.epoch))
        rank = _Rank(url, mapswitch.RankSwitch.from_config(cfg))
        rank.worker = asyncio.create_task(self._give_orders(rank))
        self._ranks[key] = rank

    def _give(self, rank: _Rank, event: mapswitch.events.Event) -> None:
        for effect in rank.machine.handle(event, time.monotonic()):
            self._carry_out(effect, rank)
        if not isinstance(event, mapswitch.Tick):
            rank.changed.set()
            rank.changed = asyncio.Event()

    @functools.singledispatchmethod
    def _carry_out(self, effect: Any, rank: _Rank) -> None:
        """Queue an order to the engine."""
        rank.orders.put_nowait(effect)

    @_carry_out.register
    def _(self, effect: mapswitch.SendToCoordinator, rank: _Rank) -> None:
        for voter in self.cfg.voter_addresses():
            self.peers.send(voter, effect.message)

    async def _give_orders(self, rank: _Rank) -> None:
        """Give the engine one order after the other."""
        while True:
            order = await rank.orders.get()
            problem = await self._order(rank, order)
            if problem:
                logs.warning(
                    'engine_order_failed',
                    rank=rank.machine.cfg.rank,
                    order=type(order).__name__,
                    version=order.version,
                    reason=problem,
                )
            if not isinstance(order, mapswitch.LoadWeights):
                continue
            outcome = mapswitch.WeightsLoaded(order.version)
            if problem:
                outcome = mapswitch.WeightsFailed(order.version, problem)
            self._give(rank, outcome)

    async def _order(self, rank: _Rank, order: Any) -> str:
        """Give an order to an engine; return what went wrong, if any."""
        path, body, timeout_s = _request(order)
        body['rank'] = rank.machine.cfg.rank
        body['version'] = order.version
        body['fence'] = attrs.asdict(rank.machine.highest)
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self.session.post(
                rank.url + path, json=body, timeout=timeout
            ) as resp:
                ok = resp.status == http.HTTPStatus.OK
                return '' if ok else f'status {resp.status}'
        except (aiohttp.ClientError, TimeoutError) as exc:
            return repr(exc)


def _request(order: Any) -> tuple[str, dict[str, Any], float]:
    """Return path, body and time limit of an order to an engine."""
    match order:
        case mapswitch.LoadWeights():
            placement = base64.b64encode(order.body).decode('ascii')
            return '/orders/load', {'map': placement}, LOAD_TIMEOUT_S
        case mapswitch.DropWeights():
            return '/orders/drop', {}, ORDER_TIMEOUT_S
        case mapswitch.ActivateMap():
            return '/orders/activate', {'step': order.step}, ORDER_TIMEOUT_S
    raise TypeError(f'no such order: {type(order).__name__}')
