"""The process of a direct entry."""

import asyncio
from collections.abc import Callable
import random
import socket
import time

from aiohttp import web

from cassiashift_core import admission
from cassiashift_core import buffers
from cassiashift_core import CassiashiftError
from cassiashift_core import consensus
from cassiashift_core import draining
from cassiashift_core import evacuation
from cassiashift_core import fleet
from cassiashift_core import heads
from cassiashift_core import poison
from cassiashift_core import workload
from cassiashift_daemon.direct import api
from cassiashift_daemon.direct import config
from cassiashift_daemon.direct import dialect
from cassiashift_daemon.direct import evacuation_runner
from cassiashift_daemon.direct import exchange
from cassiashift_daemon.direct import explaining
from cassiashift_daemon.direct import fleet_runner
from cassiashift_daemon.direct import in_progress
from cassiashift_daemon.direct import ingress
from cassiashift_daemon.direct import load_meter
from cassiashift_daemon.direct import metrics
from cassiashift_daemon.direct import permit_runner
from cassiashift_daemon.direct import placement
from cassiashift_daemon.direct import poison_guard
from cassiashift_daemon.direct import tables
from cassiashift_daemon.direct import voting
from cassiashift_daemon.direct import workload_runner
from cassiashift_daemon import dispatch
from cassiashift_daemon import lifecycle
from cassiashift_daemon import logs
from cassiashift_daemon import proposals
from cassiashift_daemon import seeds
from cassiashift_daemon import webserver
from cassiashift_net import links
from cassiashift_net import proposal_messages

# Callers keep connections idle up to the limit of the configuration; the
# server closes none of them sooner.
KEEPALIVE_TIMEOUT_S = 75.0
MAX_HEADER_BYTES = 64 * 1024
MAX_CONTROL_BYTES = 32 * 1024 * 1024
# An upstream counts as silent after four lost heartbeats.
SILENT_HEARTBEATS = 4
FORGET_UPSTREAM_S = 30.0
# Some callers cache an answer of the directory for three times its TTL.
TTL_FACTOR = 3
STOP_MARGIN_S = 0.4
# A busy process notices a signal up to this late.
NOTICED_WITHIN_S = 0.5
# Requests without an answer get a final one this long before the end of a
# planned stop.
FINAL_ANSWERS_S = 0.3
# Time for the last lines and answers at the end of the process.
ENDING_S = 0.05
LOAD_INTERVAL_S = 1.0
# The settings are also read periodically, as they may change without a
# signal.
RELOAD_INTERVAL_S = 2.0
# Source of a configuration that the voter of this process applied.
SOURCE_LOG = 'log'

Surfaces = Callable[
    [api.ControlApi, api.DirectoryApi], dict[str, list[web.RouteDef]]
]


class DirectEntry(lifecycle.Process):
    """An entry that calls upstreams directly."""

    def __init__(
        self,
        read_config: Callable[[], config.DirectConfig],
        adapter: dialect.Dialect,
        surfaces: Surfaces,
    ) -> None:
        """Create the parts that need no event loop.

        Args:
            read_config: reads and checks the settings.
            adapter: header names and decoder of the platform.
            surfaces: returns the platform's HTTP routes by the name of the
                listener that serves them.
        """
        super().__init__()
        self.read_config = read_config
        self.cfg = read_config()
        self.adapter = adapter
        self.surfaces = surfaces
        # Seeded by the operating system: hosts may start at the same time.
        self.rng = random.Random()
        self.metrics = metrics.Metrics()
        self.requests = in_progress.RequestTable()
        self._rate = fleet.RequestRate()
        self._engine_rate = fleet.RequestRate()
        self.holder = tables.TableHolder(adapter)
        self.confirmation = fleet.LogConfirmation()
        self.listeners: list[webserver.Listener] = []
        self.front: webserver.Listener | None = None
        self.is_leaving = False

    @property
    def stop_timeout_s(self) -> float:
        """Return the seconds allowed for a planned stop."""
        return max(0.0, self.cfg.bounds.grace_s - STOP_MARGIN_S)

    async def open(self) -> None:
        """Open the links and listeners, and start the periodic tasks."""
        self._open_fleet()
        self._open_ingress()
        self._open_control()
        self._register_handlers()
        await self._listen()
        self.spawn(self.run_periodically(fleet_runner.TICK_S, self._tick))
        self.spawn(
            self.run_periodically(placement.TICK_S, self._tick_requests)
        )
        self.spawn(self.run_periodically(RELOAD_INTERVAL_S, self.reload))
        self.spawn(self.run_periodically(LOAD_INTERVAL_S, self._update_load))
        if self.meter.is_enabled:
            self.spawn(self.meter.measure_lag_forever())
        if self.cfg.data_dir:
            self.spawn(self.voting.run_forever())
            self.spawn(self._confirm_log())
        logs.info(
            'started',
            host=self.cfg.host,
            data_centre=self.cfg.data_centre,
            seeds=','.join(self.cfg.seeds),
            has_disk=bool(self.cfg.data_dir),
            first_start=self.cfg.is_first_start,
        )

    def reload(self) -> None:
        """Read the settings again; only a change of the seeds applies."""
        self.cfg = self.runner.cfg = seeds.reload_seeds(
            self.cfg, self.read_config
        )

    async def drain(self) -> None:
        """Leave the directory, then wait until the last request is answered.

        Connections are accepted until callers have dropped cached answers.
        """
        self.is_leaving = True
        self.ingress.is_leaving = True
        self.runner.is_leaving = True
        self.runner.is_ready = False
        self.runner.send_hellos()
        answers_s = max(0.0, self.stop_timeout_s - FINAL_ANSWERS_S)
        now = time.monotonic()
        known_s = TTL_FACTOR * min(
            api.DIRECTORY_TTL_S, self.cfg.bounds.longest_ttl_s
        )
        self.placement.admission.begin_closing(
            admission.Closing(
                ends_at=now + answers_s,
                over_at=now + self.cfg.bounds.grace_s,
                known_until=now + known_s - NOTICED_WITHIN_S,
            )
        )
        asyncio.get_running_loop().call_later(
            answers_s, self.ingress.end_unanswered
        )
        self.voting.transfer_leadership()
        await asyncio.sleep(known_s)
        if self.front is not None:
            await self.front.stop()
        while self.ingress.in_flight or self._unsent_bytes():
            await asyncio.sleep(fleet_runner.TICK_S)
        self.ingress.refuse_all()

    def unfinished(self) -> list[draining.Unfinished]:
        """Return the requests in progress."""
        return self.requests.unfinished()

    async def end_requests(self) -> None:
        """Answer or break off each request, and close all connections."""
        self.requests.is_final = True
        logs.final_info(
            'stopped',
            in_flight=len(self.requests),
            connections=self.front.connection_count if self.front else 0,
            unsent_bytes=self._unsent_bytes(),
        )
        await self.ingress.end_all(ENDING_S)
        if self.front is not None:
            await self.front.close()

    async def close(self) -> None:
        """Close the listeners, the upstream connections and the links."""
        await asyncio.gather(*(item.close() for item in self.listeners))
        self.work.send_end()
        await self.exchange.close()
        self.links.close()

    def _open_fleet(self) -> None:
        cfg = self.cfg
        self.dispatcher = dispatch.Dispatcher()
        self.links = links.Links.from_config(
            cfg.host, self.dispatcher.dispatch
        )
        self.links.bind(cfg.link_of(cfg.host))
        self.runner = fleet_runner.FleetRunner(
            cfg=cfg,
            links=self.links,
            entries=fleet.EntryTable(cfg.host),
            upstreams=fleet.UpstreamTable(
                SILENT_HEARTBEATS * cfg.heartbeat_s,
                FORGET_UPSTREAM_S,
                cfg.host,
            ),
            holder=self.holder,
            started_ns=time.time_ns(),
        )
        self.evacuations = evacuation_runner.EvacuationRunner(
            runner=self.runner, metrics=self.metrics
        )
        self.voting = voting.VoterSupervisor(
            cfg=cfg,
            deployment=self.adapter.deployment,
            links=self.links,
            runner=self.runner,
            rng=self.rng,
            on_document=self._apply_committed,
            on_evacuations=self._apply_committed_evacuations,
        )

    def _open_ingress(self) -> None:
        self.exchange = exchange.Exchange.from_config(self.adapter.headers)
        if self.cfg.limits.memory_mb:
            self.exchange.ledger.limits = buffers.BufferLimits.from_memory(
                self.cfg.limits.memory_mb
            )
        self.meter = load_meter.LoadMeter.from_config(
            self.cfg.limits, self.exchange.ledger
        )
        self.guard = poison_guard.PoisonGuard.from_runner(
            poison.PoisonTable(self.cfg.host, self.rng),
            self.runner,
            self.metrics,
        )
        self.permits = permit_runner.PermitRunner(
            runner=self.runner,
            metrics=self.metrics,
            issuer=fleet.Issuer(time.monotonic()),
        )
        self.work = workload_runner.WorkloadRunner(
            runner=self.runner,
            table=workload.WorkTable(self.runner.upstreams),
        )
        self.placement = placement.Placement(
            cfg=self.cfg,
            holder=self.holder,
            runner=self.runner,
            guard=self.guard,
            permits=self.permits,
            work=self.work,
            rng=self.rng,
        )
        self.runner.blocks_digest = lambda: self.guard.table.digest
        self.guard.sharing.on_blocked = self.placement.admission.refuse_blocked
        self.evacuations.on_ended = self._presume_cold
        self.evacuations.on_changed = (
            self.placement.admission.apply_evacuations
        )
        self.exchange.on_leaving = self._record_leaving
        self.exchange.on_back_off = self._record_back_off
        self.exchange.on_limit = self.runner.record_limit
        self.exchange.on_cold = self.permits.record_cold
        self.holder.on_table = self.permits.apply_table
        self.ingress = ingress.Ingress(
            dialect=self.adapter,
            holder=self.holder,
            exchange=self.exchange,
            placement=self.placement,
            guard=self.guard,
            rng=self.rng,
            metrics=self.metrics,
            requests=self.requests,
        )

    def _open_control(self) -> None:
        self.proposer = proposals.Proposer(
            self.cfg.host,
            self.links,
            {},
            try_timeout_s=api.TRY_TIMEOUT_S,
        )
        self.control = api.ControlApi(
            cfg=self.cfg,
            dialect=self.adapter,
            runner=self.runner,
            holder=self.holder,
            proposer=self.proposer,
            evacuations=self.evacuations,
            explainer=explaining.Explainer(self.placement),
        )
        self.directory = api.DirectoryApi(
            cfg=self.cfg, runner=self.runner, is_serving=self._is_serving
        )

    def _register_handlers(self) -> None:
        register = self.dispatcher.register
        parts = (
            self.runner,
            self.guard.sharing,
            self.permits,
            self.evacuations,
            self.work,
        )
        for part in parts:
            for cls, handler in part.handlers().items():
                register(cls, handler)
        for cls in consensus.MESSAGE_TYPES.values():
            register(cls, self.voting.on_message)
        register(proposal_messages.Proposal, self.voting.on_proposal)
        register(
            proposal_messages.ProposalAnswer,
            lambda sender, message: self.proposer.receive_answer(message),
        )

    async def _listen(self) -> None:
        listeners = self.cfg.listeners
        if listeners.front:
            server = web.ServerRunner(
                ingress.create_server(
                    self.ingress,
                    keepalive_timeout=KEEPALIVE_TIMEOUT_S,
                    max_line_size=MAX_HEADER_BYTES,
                    max_field_size=MAX_HEADER_BYTES,
                ),
                shutdown_timeout=ENDING_S,
            )
            await server.setup()
            self.front = await webserver.listen(
                server, listeners.front, limits=self._head_limits
            )
            self._limit_kernel_buffers()
            self.listeners.append(self.front)
        surfaces = self.surfaces(self.control, self.directory)
        surfaces['metrics'] = [web.get('/metrics', self._serve_metrics)]
        for name, routes in surfaces.items():
            address = getattr(listeners, name)
            if address:
                self.listeners.append(
                    await webserver.serve(
                        address, routes, MAX_CONTROL_BYTES, None
                    )
                )

    def _head_limits(self) -> heads.HeadLimits:
        """Return the limits on callers' heads that are in force."""
        table = self.holder.table
        if table is None:
            return heads.HeadLimits()
        return heads.HeadLimits(
            head_bytes=table.limits.max_header_bytes,
            head_s=table.limits.header_timeout_s,
        )

    def _limit_kernel_buffers(self) -> None:
        """Limit what the kernel holds for each caller, and one read.

        Connections inherit it from the listening socket. Otherwise up to
        4 MB wait there for a caller that doesn't read.
        """
        limits = self.exchange.ledger.limits
        if limits.is_stated:
            for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
                self.front.sock.setsockopt(
                    socket.SOL_SOCKET, option, limits.connection_bytes
                )

    def _unsent_bytes(self) -> int:
        """Return the bytes of answers that callers have still to be sent."""
        return 0 if self.front is None else self.front.unsent_bytes

    def _is_serving(self) -> bool:
        return self.holder.table is not None and not self.is_leaving

    def _record_leaving(self, upstream: fleet.Upstream) -> None:
        self.metrics.record_signal('leaving')
        self.runner.record_leaving(upstream)

    def _presume_cold(self, data_centre: str) -> None:
        """Take the upstreams of a data centre for cold until they announce.

        They may have restarted during the evacuation.
        """
        presumed = self.runner.upstreams.presume_cold(
            data_centre, time.monotonic()
        )
        logs.info(
            'upstreams_presumed_cold',
            data_centre=data_centre,
            upstreams=len(presumed),
        )

    def _record_back_off(self, upstream: fleet.Upstream, value: str) -> None:
        self.metrics.record_signal('back_off')
        self.placement.record_back_off(upstream, value)

    async def _confirm_log(self) -> None:
        """Read the newest version from a quorum, again until one answers."""
        started = time.monotonic()
        while True:
            try:
                newest = await self.control.read_newest()
                break
            except CassiashiftError as exc:
                logs.warning('log_not_confirmed', reason=exc.message)
        logs.info(
            'log_confirmed',
            version=newest.version,
            evacuations=newest.evacuations.revision,
            after_s=time.monotonic() - started,
        )
        document = self.confirmation.confirm(
            newest.version, newest.evacuations
        )
        self.evacuations.apply_committed(self.confirmation.evacuations)
        self._apply_confirmed(document)

    def _apply_committed_evacuations(
        self, state: evacuation.Evacuations
    ) -> None:
        confirmed = self.confirmation.offer_evacuations(state)
        if confirmed is not None:
            self.evacuations.apply_committed(confirmed)

    def _apply_committed(self, document: fleet.Document) -> None:
        self._apply_confirmed(self.confirmation.offer(document))

    def _apply_confirmed(self, document: fleet.Document | None) -> None:
        if document is not None and self.holder.apply_if_newer(
            document, SOURCE_LOG
        ):
            self.runner.push_document(document)

    def _tick(self) -> None:
        is_ready = self._is_serving()
        if is_ready != self.runner.is_ready:
            logs.info(
                'readiness',
                ready=is_ready,
                configuration=self.holder.version,
                leaving=self.is_leaving,
            )
            self.runner.is_ready = is_ready
            self.runner.send_hellos()
        self.runner.tick()

    def _tick_requests(self) -> None:
        self.placement.tick()
        self.ingress.tick()
        self.guard.sharing.tick()
        self.permits.tick()
        self.work.tick()

    def _update_load(self) -> None:
        handled, self.ingress.handled = self.ingress.handled, 0
        self._rate.record(handled, LOAD_INTERVAL_S)
        self.runner.requests_per_s = self._rate.announced
        self._engine_rate.record(
            self.ingress.handled_by_engines, LOAD_INTERVAL_S
        )
        self.ingress.handled_by_engines = 0
        self.runner.engine_requests_per_s = self._engine_rate.announced
        self.meter.record(handled)
        self.runner.capacity_per_s = self.meter.estimator.capacity_per_s
        self.runner.is_slow = self.meter.estimator.is_slow

    async def _serve_metrics(self, request: web.Request) -> web.Response:
        voter = self.voting.voter
        text = self.metrics.text(
            configuration_version=self.holder.version,
            configuration_age_s=time.monotonic() - self.holder.since,
            entries_alive=len(self.runner.live_records()) + 1,
            upstreams=len(self.runner.upstreams.all()),
            limited_upstreams=self.runner.upstreams.limited_count(),
            cold_upstreams=self.runner.upstreams.cold_count(time.monotonic()),
            slow_upstreams=self.runner.upstreams.slow_count(time.monotonic()),
            in_flight=self.ingress.in_flight,
            busy_entries=self.work.busy_count(),
            silent_entries=self.work.silent_count(),
            requests_per_s=self.runner.requests_per_s,
            capacity_per_s=self.runner.capacity_per_s,
            slow=float(self.runner.is_slow),
            buffered_bytes=self.exchange.ledger.buffered_bytes,
            unread_callers=self.exchange.ledger.unread_count,
            link_sent_bytes=self.links.sent_bytes,
            link_received_bytes=self.links.received_bytes,
            blocked_parts=self.guard.table.blocked_count,
            suspected_parts=self.guard.table.suspected_count,
            suspected_requests=self.guard.table.suspected_request_count,
            log_term=0 if voter is None else voter.replica.term,
            log_commit=0 if voter is None else voter.replica.commit_index,
            leads=float(self.voting.is_leader),
            **self.evacuations.gauges(),
        )
        return web.Response(body=text, content_type=metrics.CONTENT_TYPE)
