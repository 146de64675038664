"""Runs the map switches of the ranks whose engines are on this host.

Engines ask over HTTP whether they may start a step, and get their orders by
HTTP posts. Orders and reports of a switch travel over the links.
"""

import asyncio
import base64
import functools
import http
import operator
import time
from typing import Annotated
from typing import Any

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
from cassiashift_daemon import webserver
from cassiashift_net import links
from cassiashift_net import messages
from cassiashift_net import problems

TICK_INTERVAL_S = 0.05
MAX_STEP_WAIT_S = 1.0
RETRY_AFTER_S = 0.1
LOAD_TIMEOUT_S = 300.0
ORDER_TIMEOUT_S = 5.0
SHUTDOWN_TIMEOUT_S = 0.2


@attrs.frozen
class StepRequest:
    """An engine's request to start a step.

    Attributes:
        tokens: tokens since the last request, by layer and expert.
    """

    step: Annotated[int, msgspec.Meta(ge=0)]
    tokens: tuple[tuple[int, ...], ...] = ()


@attrs.define(eq=False)
class _Rank:
    """One rank, and the orders that its engine has not been sent yet.

    Attributes:
        url: base URL of the engine.
        changed: set and replaced after each event except ticks; wakes the
            step requests that wait.
        worker: sends the orders.
        tokens: expert counts of the current window, by layer and expert.
    """

    url: str
    machine: mapswitch.RankSwitch
    orders: asyncio.Queue = attrs.field(factory=asyncio.Queue)
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    worker: asyncio.Task | None = None
    tokens: list[list[int]] = attrs.field(factory=list)

    def add_tokens(self, tokens: tuple[tuple[int, ...], ...]) -> None:
        """Add counts to those of the window.

        Counts of another shape replace them: the group has changed.
        """
        if [len(row) for row in tokens] != [len(row) for row in self.tokens]:
            self.tokens = [list(row) for row in tokens]
            return
        for total, row in zip(self.tokens, tokens, strict=True):
            total[:] = map(operator.add, total, row)


@attrs.define(eq=False)
class RankRunner:
    """Connects the ranks' state machines with the voters and the engines.

    A rank that is no longer in the manifest is kept until the process ends:
    within one incarnation its promises to the coordinator must not be lost.
    """

    cfg: settings.AgentSettings
    epoch: int
    peers: peers.Peers
    holder: shared_state.SharedHolder
    session: aiohttp.ClientSession
    _ranks: dict[tuple[str, str], _Rank] = attrs.field(factory=dict)
    _listener: webserver.Listener | None = None

    async def open(self) -> None:
        """Serve the engines, if the setting ``steps`` has an address."""
        if not self.cfg.steps:
            return
        app = web.Application()
        app.add_routes([web.post('/v1/ranks/{rank}/steps', self._handle_step)])
        server = web.AppRunner(
            app, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S
        )
        await server.setup()
        self._listener = await webserver.listen(server, self.cfg.steps)

    async def close(self) -> None:
        """Stop serving engines and sending orders."""
        if self._listener is not None:
            await self._listener.close()
        for rank in self._ranks.values():
            rank.worker.cancel()

    def tick(self) -> None:
        """Add ranks that are new in the manifest, and run timeouts."""
        self._add_new_ranks()
        for rank in self._ranks.values():
            self._handle_event(rank, mapswitch.Tick())

    def report_counts(self) -> None:
        """Send the ranks' expert counts to the voters and begin a window."""
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
        """Pass an order of a coordinator to its rank.

        An order for a rank that is not on this host is dropped.
        """
        order = messages.ORDERS.decode(message.data)
        rank = self._ranks.get((order.group, message.rank))
        if rank is not None:
            self._handle_event(rank, mapswitch.Received(order))

    async def _handle_step(self, req: web.Request) -> web.Response:
        """Answer with the map version of a step as soon as it may start."""
        try:
            wanted = msgspec.json.decode(await req.read(), type=StepRequest)
            rank = self._find_rank(req.match_info['rank'])
            version = await self._wait_for_step(rank, wanted.step)
            if wanted.tokens:
                rank.add_tokens(wanted.tokens)
        except msgspec.DecodeError as exc:
            error = CassiashiftError(ErrorCode.BAD_REQUEST, str(exc))
            return problems.error_response(error, '')
        except CassiashiftError as exc:
            return problems.error_response(exc, '')
        return web.json_response({'version': version})

    def _find_rank(self, name: str) -> _Rank:
        matching = [
            rank for (_, id_), rank in self._ranks.items() if id_ == name
        ]
        if len(matching) == 1:
            return matching[0]
        raise CassiashiftError(
            ErrorCode.CONFLICT,
            f'{len(matching)} ranks of this host are named {name!r}',
            retry_after_s=RETRY_AFTER_S,
        )

    async def _wait_for_step(self, rank: _Rank, step: int) -> int:
        """Return a step's map version; wait up to ``MAX_STEP_WAIT_S``.

        Raises:
            CassiashiftError: with ``CONFLICT``; the step may not start yet.
        """
        deadline = time.monotonic() + MAX_STEP_WAIT_S
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

    def _add_new_ranks(self) -> None:
        urls = self.cfg.upstream_urls()
        for group_id in self.holder.view.ids('groups'):
            for item in self.holder.view.group(group_id).ranks:
                key = (group_id, item.id)
                if item.upstream in urls and key not in self._ranks:
                    self._add_rank(key, urls[item.upstream])

    def _add_rank(self, key: tuple[str, str], url: str) -> None:
        group, name = key
        cfg = mapswitch.RankConfig(group, name, str(self.epoch))
        rank = _Rank(url, mapswitch.RankSwitch.from_config(cfg))
        rank.worker = asyncio.create_task(self._send_orders(rank))
        self._ranks[key] = rank

    def _handle_event(
        self, rank: _Rank, event: mapswitch.events.Event
    ) -> None:
        for effect in rank.machine.handle(event, time.monotonic()):
            self._carry_out(effect, rank)
        if not isinstance(event, mapswitch.Tick):
            rank.changed.set()
            rank.changed = asyncio.Event()

    @functools.singledispatchmethod
    def _carry_out(self, effect: Any, rank: _Rank) -> None:
        """Queue an order for the engine."""
        rank.orders.put_nowait(effect)

    @_carry_out.register
    def _(self, effect: mapswitch.SendToCoordinator, rank: _Rank) -> None:
        for voter in self.cfg.voter_addresses():
            self.peers.send(voter, effect.message)

    async def _send_orders(self, rank: _Rank) -> None:
        """Send the queued orders, and report how a load has ended."""
        while True:
            order = await rank.orders.get()
            problem = await self._send_order(rank, order)
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
            self._handle_event(rank, outcome)

    async def _send_order(self, rank: _Rank, order: Any) -> str:
        """Send an order to the engine; return an error text, or ''."""
        path, body, timeout_s = _order_request(order)
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


def _order_request(order: Any) -> tuple[str, dict[str, Any], float]:
    """Return path, body and timeout in seconds of an order's HTTP post."""
    match order:
        case mapswitch.LoadWeights():
            placement = base64.b64encode(order.body).decode('ascii')
            return '/orders/load', {'map': placement}, LOAD_TIMEOUT_S
        case mapswitch.DropWeights():
            return '/orders/drop', {}, ORDER_TIMEOUT_S
        case mapswitch.ActivateMap():
            return '/orders/activate', {'step': order.step}, ORDER_TIMEOUT_S
    raise TypeError(f'unknown order: {type(order).__name__}')
