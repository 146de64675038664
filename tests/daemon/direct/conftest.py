"""Fixtures: an ingress on loopback with scripted upstreams."""

import asyncio
import contextlib
import random

import aiohttp
from aiohttp import web
import attrs
import pytest

from cassiashift_core import costs
from cassiashift_core import fleet
from cassiashift_core import poison
from cassiashift_core import routes
from cassiashift_core import workload
from cassiashift_daemon.direct import config
from cassiashift_daemon.direct import dialect
from cassiashift_daemon.direct import evacuation_runner
from cassiashift_daemon.direct import exchange
from cassiashift_daemon.direct import fleet_runner
from cassiashift_daemon.direct import ingress
from cassiashift_daemon.direct import metrics
from cassiashift_daemon.direct import permit_runner
from cassiashift_daemon.direct import placement
from cassiashift_daemon.direct import poison_guard
from cassiashift_daemon.direct import tables
from cassiashift_daemon.direct import workload_runner
from cassiashift_net import links

NAMES = dialect.HeaderNames(
    request_id='X-Id',
    deadline_ms='X-Deadline',
    stamp='X-Stamp',
    workspace='X-Workspace',
    expected_upstream='X-Expect',
    upstream_id='X-Upstream',
    not_run='X-Not-Run',
    priority='X-Priority',
    last_event='Last-Event-Id',
    at_fault='X-At',
    leaving='X-Leaving',
    limit='X-Limit',
    prompt='X-Prompt',
)
HOST = 'a.example'
SENDER = links.Sender('127.0.0.9', lambda message: True)


def route(name, kind, **fields):
    """Return a route under /name/ to the service of that name."""
    values = {'timeout_s': 2.0, 'attempts': 2} | fields
    return routes.Route(
        name, HOST, f'/{name}/', kind, (routes.Target(name),), **values
    )


def route_to_model(name, priority):
    """Return a public route of a priority to the service model."""
    return attrs.evolve(
        route(name, routes.Kind.STREAM, is_public=True, priority=priority),
        targets=(routes.Target('model'),),
        objective_s=0.5,
        gap_objective_s=0.15,
    )


TABLE = routes.RouteTable(
    1,
    (
        route_to_model('chat', 0),
        route_to_model('bulk', 2),
        route('read', routes.Kind.SAFE),
        route('book', routes.Kind.UNSAFE, attempts=1),
        route('draft', routes.Kind.STREAM, is_resumable=True),
        route('talk', routes.Kind.STREAM),
        route('tale', routes.Kind.STREAM, is_resumable=True, attempts=3),
        route('brief', routes.Kind.STREAM, timeout_s=0.4),
        route('long', routes.Kind.STREAM, timeout_s=20.0),
        route('open', routes.Kind.SAFE, is_public=True),
    ),
    (
        routes.Service('model', engine=routes.Engine(slots=1)),
        *(
            routes.Service(name)
            for name in (
                'read',
                'book',
                'draft',
                'talk',
                'tale',
                'brief',
                'long',
                'open',
            )
        ),
    ),
    (routes.Workspace('acme', ('secret',), 3),),
)


@attrs.define(eq=False)
class ScriptedUpstream:
    """An upstream that answers each connection by the next script.

    A script is a coroutine function that is given the request's head and the
    stream writer, and writes the raw bytes of the answer.

    Attributes:
        heads: request lines and headers of all requests so far.
        bodies: bodies of all requests so far.
        ended: set when a connection has ended.
    """

    address: str = ''
    scripts: list = attrs.field(factory=list)
    heads: list[str] = attrs.field(factory=list)
    bodies: list[bytes] = attrs.field(factory=list)
    ended: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def serve(self, reader, writer):
        """Read one request and run the next script."""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            head = (await reader.readuntil(b'\r\n\r\n')).decode()
            self.heads.append(head)
            length = int(header(head, 'Content-Length') or 0)
            self.bodies.append(await reader.readexactly(length))
            script = self.scripts.pop(0) if self.scripts else whole
            await script(head, writer)
        with contextlib.suppress(ConnectionError):
            writer.close()
            await writer.wait_closed()
        self.ended.set()


def header(head, name):
    """Return a header's value from a request's head; None if missing."""
    for line in head.split('\r\n'):
        key, _, value = line.partition(': ')
        if key.lower() == name.lower():
            return value
    return None


def reply(head, status='200 OK', body=b'', **headers):
    """Return the raw bytes of an answer with a Content-Length."""
    lines = [
        f'HTTP/1.1 {status}',
        f'X-Id: {header(head, "X-Id")}',
        'X-Stamp: s',
        f'Content-Length: {len(body)}',
    ]
    lines += [f'{key.replace("_", "-")}: {v}' for key, v in headers.items()]
    return '\r\n'.join([*lines, '', '']).encode() + body


async def whole(head, writer):
    """Script: answer 200 with a complete body."""
    writer.write(reply(head, body=b'done'))
    await writer.drain()


def answering(status, body=b'', **headers):
    """Return a script that answers with a status, body and headers."""

    async def script(head, writer):
        writer.write(reply(head, status, body, **headers))
        await writer.drain()

    return script


def streaming(first, last, *, is_whole=True, pause_s=0.0):
    """Return a script that sends events by number, first to last, chunked.

    Without ``is_whole`` the final chunk is missing.
    """

    async def script(head, writer):
        writer.write(
            f'HTTP/1.1 200 OK\r\nX-Id: {header(head, "X-Id")}\r\n'
            f'X-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n'.encode()
        )
        for number in range(first, last + 1):
            data = f'id: {number}\ndata: x\n\n'.encode()
            writer.write(f'{len(data):x}\r\n'.encode() + data + b'\r\n')
            await writer.drain()
            await asyncio.sleep(pause_s)
        if is_whole:
            writer.write(b'0\r\n\r\n')
        await writer.drain()

    return script


async def silent(head, writer):
    """Script: send nothing for 30 s."""
    await asyncio.sleep(30)


async def reset(head, writer):
    """Script: reset the connection without an answer."""
    writer.transport.abort()


@attrs.define(eq=False)
class Site:
    """An ingress, its upstreams and an HTTP client."""

    ingress: ingress.Ingress
    runner: fleet_runner.FleetRunner
    evacuations: evacuation_runner.EvacuationRunner
    url: str
    session: aiohttp.ClientSession
    server: web.Server
    servers: list = attrs.field(factory=list)

    def condition(self, id_):
        """Return what the entry knows of an upstream beside its state."""
        table = self.runner.upstreams
        return table.condition(table.find(id_))

    def stop_listening(self, number):
        """Close the listener of the upstream of a number, from 0."""
        self.servers[number].close()

    async def upstream(self, service, *scripts, data_centre='east'):
        """Start and register an upstream with scripts for its requests."""
        upstream = ScriptedUpstream(scripts=list(scripts))
        server = await asyncio.start_server(upstream.serve, '127.0.0.1', 0)
        self.servers.append(server)
        upstream.address = '{}:{}'.format(*server.sockets[0].getsockname())
        id_ = f'{service}-{len(self.servers)}'
        self.runner.upstreams.apply(
            fleet.Upstream(
                id_, service, upstream.address, data_centre, slots=2
            ),
            0.0,
        )
        return upstream

    def remove_upstreams(self):
        """Stop all upstreams and state that they are gone."""
        for server in self.servers:
            server.close()
        for upstream in self.runner.upstreams.all():
            gone = attrs.evolve(
                upstream,
                state=fleet.UpstreamState.GONE,
                sequence=upstream.sequence + 1,
            )
            self.runner.upstreams.apply(gone, 0.0)

    def request(self, service, method='POST', *, body=b'body', **headers):
        """Send a request of the workspace acme to a service."""
        all_headers = {
            'Host': HOST,
            'X-Id': 'r1',
            'Authorization': 'Token secret',
        } | {key.replace('_', '-'): value for key, value in headers.items()}
        return self.session.request(
            method,
            f'{self.url}/{service}/x?q=1',
            headers=all_headers,
            data=body,
        )


@attrs.define
class _NoLinks:
    """Links that drop every message."""

    def send(self, address, message):
        """Drop a message."""


def _ingress(cfg, holder, runner):
    rng = random.Random(1)
    counts = metrics.Metrics()
    guard = poison_guard.PoisonGuard.from_runner(
        poison.PoisonTable('127.0.0.1', rng), runner, counts
    )
    permits = permit_runner.PermitRunner(
        runner=runner, metrics=counts, issuer=fleet.Issuer(0.0)
    )
    placer = placement.Placement(
        cfg=cfg,
        holder=holder,
        runner=runner,
        guard=guard,
        permits=permits,
        work=workload_runner.WorkloadRunner(
            runner=runner, table=workload.WorkTable(runner.upstreams)
        ),
        rng=rng,
    )
    sender = exchange.Exchange.from_config(NAMES)
    sender.on_leaving = runner.record_leaving
    sender.on_back_off = placer.record_back_off
    sender.on_limit = runner.record_limit
    return ingress.Ingress(
        dialect=holder.dialect,
        holder=holder,
        exchange=sender,
        placement=placer,
        guard=guard,
        rng=rng,
        metrics=counts,
    )


@pytest.fixture
async def site():
    """Return an ingress that serves ``TABLE``."""
    cfg = config.DirectConfig(
        host='127.0.0.1',
        data_centre='east',
        region='r',
        link_port=1,
        listeners=config.Listeners(),
        seeds=(),
        bounds=config.Bounds(retry_slack=100.0),
    )
    adapter = dialect.Dialect(
        headers=NAMES,
        key_scheme='Token',
        decode_document=lambda content: TABLE,
        shared_parts=lambda headers: tuple(headers.get('X-Parts', '').split()),
        stated_size=lambda headers: costs.StatedSize(
            int(headers.get('X-Prompt-Tokens', 0))
        ),
    )
    holder = tables.TableHolder(adapter, table=TABLE)
    runner = fleet_runner.FleetRunner(
        cfg=cfg,
        links=_NoLinks(),
        entries=fleet.EntryTable('127.0.0.1'),
        upstreams=fleet.UpstreamTable(1e9, 1e9),
        holder=holder,
        started_ns=1,
    )
    handler = _ingress(cfg, holder, runner)
    evacuations = evacuation_runner.EvacuationRunner(
        runner=runner,
        metrics=handler.metrics,
        on_changed=handler.placement.admission.apply_evacuations,
    )
    server = web.ServerRunner(ingress.create_server(handler))
    await server.setup()
    listener = web.TCPSite(server, '127.0.0.1', 0, shutdown_timeout=0.1)
    await listener.start()
    port = server.addresses[0][1]
    async with aiohttp.ClientSession() as session:
        built = Site(
            handler,
            runner,
            evacuations,
            f'http://127.0.0.1:{port}',
            session,
            server.server,
        )
        yield built
    for upstream in built.servers:
        upstream.close()
    await handler.exchange.close()
    await server.cleanup()


@pytest.fixture
def patient_site(site):
    """Return a site whose routes allow far more time than a test takes."""
    holder = site.ingress.holder
    patient = tuple(
        attrs.evolve(route, timeout_s=60.0) for route in holder.table.routes
    )
    holder.table = attrs.evolve(holder.table, routes=patient)
    return site


@pytest.fixture
async def ticking(site):
    """Let the site serve its queue and look for stalls every 20 ms."""

    async def tick():
        while True:
            site.ingress.placement.tick()
            site.ingress.tick()
            await asyncio.sleep(0.02)

    task = asyncio.ensure_future(tick())
    yield
    task.cancel()
