"""The process of the agent beside a rank.

It reads its engine's counters and state, passes orders on, and coordinates
the maps of the group when its rank is the lowest that is heard.
"""

import asyncio
from collections.abc import Callable
import time
import zlib


from cassiashift_core import fleet
from cassiashift_core import rankmaps
from cassiashift_core import routes
from cassiashift_daemon import dispatch
from cassiashift_daemon import lifecycle
from cassiashift_daemon import logs
from cassiashift_daemon.ranks import config
from cassiashift_daemon.ranks import engine as engines
from cassiashift_daemon import seeds
from cassiashift_net import links

STATUS_INTERVAL_S = 0.5
# Orders of a switch under way are due within some tens of milliseconds.
DRIVE_INTERVAL_S = 0.05
FLEET_INTERVAL_S = 4.0
RELOAD_INTERVAL_S = 2.0
STOP_TIMEOUT_S = 2.0
# Copies take 50 ms an expert; the state is read until they are complete.
PREPARE_POLL_S = 0.05
PREPARE_POLLS = 14
# Preparing a version again changes nothing, so an order without an answer is
# repeated at once.
PREPARE_TRIES = 3
# Reports from elsewhere are charged and some hundred milliseconds old.
FAR_READ_INTERVAL_S = 0.5


class RankAgent(lifecycle.Process):
    """An agent beside a rank."""

    def __init__(
        self,
        read_config: Callable[[], config.RankAgentConfig],
        make_engine: Callable[[str], engines.Engine],
        decode_document: Callable[[bytes], routes.RouteTable],
    ) -> None:
        """Build the parts that need no loop.

        Args:
            read_config: returns the checked settings of the moment.
            make_engine: returns the client of an engine at ``IP:PORT``.
            decode_document: decodes an operator's configuration.
        """
        super().__init__()
        self.read_config = read_config
        self.cfg = read_config()
        self.make_engine = make_engine
        self.decode_document = decode_document
        self.coordinator: rankmaps.Coordinator | None = None
        self.coordinator_host = ''
        self.addresses: dict[str, str] = {}
        self._counted: engines.Choices | None = None
        self._listed: engines.Lists | None = None
        self._far: dict[str, engines.Engine] = {}
        self._far_read_at: dict[int, float] = {}
        self._beacon_at = 0.0
        self._fleet_at = 0.0
        self._logged = (0, '')

    @property
    def stop_timeout_s(self) -> float:
        """Return the seconds that a planned stop may take."""
        return STOP_TIMEOUT_S

    async def open(self) -> None:
        """Open the links and the engine's client."""
        cfg = self.cfg
        self.engine = self.make_engine(cfg.engine)
        self.dispatcher = dispatch.Dispatcher()
        self.links = links.Links.from_config(
            cfg.host, self.dispatcher.dispatch
        )
        self.links.bind(cfg.link_of(cfg.host))
        register = self.dispatcher.register
        register(rankmaps.GroupBeacon, self._beacon)
        register(rankmaps.RankStatus, self._status)
        register(rankmaps.EngineOrder, self._ordered)
        register(fleet.TableDump, self._table)
        register(fleet.DocumentPush, self._document)
        self.spawn(self._watch_forever())
        self.spawn(self.every(DRIVE_INTERVAL_S, self._drive))
        self.spawn(self.every(RELOAD_INTERVAL_S, self.reload))
        logs.info('started', host=cfg.host, engine=cfg.engine)

    async def drain(self) -> None:
        """Finish a switch under way."""
        while self.coordinator is not None and self.coordinator.active:
            await asyncio.sleep(DRIVE_INTERVAL_S)

    async def close(self) -> None:
        """Close the links and the engine's client."""
        logs.info('stopped')
        for engine in (self.engine, *self._far.values()):
            await engine.close()
        self.links.close()

    def reload(self) -> None:
        """Read the settings again; only the seeds may change."""
        self.cfg = seeds.renewed(self.cfg, self.read_config)

    async def _watch_forever(self) -> None:
        while True:
            started = time.monotonic()
            try:
                await self._watch()
            except engines.EngineError as exc:
                logs.warning('engine_unreadable', reason=str(exc))
            spent_s = time.monotonic() - started
            await asyncio.sleep(max(0.05, STATUS_INTERVAL_S - spent_s))

    async def _watch(self) -> None:
        """Read the engine and tell the coordinator."""
        report = await self._read_report()
        now = time.monotonic()
        coordinates = self.coordinator.coordinates(now)
        if not coordinates and not self.coordinator_host:
            return
        choices = await self._new_choices()
        status = rankmaps.RankStatus(
            self.cfg.host, report, await self._own_lists(report), choices
        )
        if coordinates:
            self.coordinator.handle_status(status, time.monotonic())
        else:
            self._send(self.coordinator_host, status)

    async def _read_report(self) -> rankmaps.RankReport:
        report = await self.engine.report()
        now = time.monotonic()
        if self.coordinator is None:
            self.coordinator = rankmaps.Coordinator(report, self.cfg.host)
            logs.info(
                'group_joined',
                group=report.group,
                epoch=report.epoch,
                rank=report.rank,
                size=report.size,
            )
        self.coordinator.record_own_report(report, now)
        return report

    async def _new_choices(self) -> rankmaps.Choices | None:
        found = await self.engine.choices()
        known, self._counted = self._counted, found
        if known is None or known.epoch != found.epoch:
            return None
        new = [
            max(0, count - old)
            for count, old in zip(found.counts, known.counts, strict=False)
        ]
        return rankmaps.Choices.from_counts(new) if any(new) else None

    async def _own_lists(
        self, report: rankmaps.RankReport
    ) -> tuple[tuple[int, ...], ...]:
        """Return the experts of this rank on the map in use."""
        wanted = (report.epoch, report.map_version)
        known = self._listed
        if known is None or (known.epoch, known.version) != wanted:
            known = self._listed = await self.engine.lists()
        if (known.epoch, known.version) != wanted:
            return ()
        return known.experts

    def _announce(self, now: float) -> None:
        """Tell the group who coordinates, and learn of the fleet."""
        if now - self._beacon_at >= rankmaps.BEACON_INTERVAL_S:
            self._beacon_at = now
            own = self.coordinator.own_report
            beacon = rankmaps.GroupBeacon(
                self.cfg.host, own.group, own.epoch, own.rank
            )
            known = set(self.coordinator.hosts.values())
            is_whole = len(known) == own.size
            for host in known if is_whole else self.addresses:
                if host != self.cfg.host:
                    self._send(host, beacon)
        if now - self._fleet_at >= FLEET_INTERVAL_S:
            self._fleet_at = now
            for seed in self.cfg.seeds[:2]:
                self._send(seed, fleet.TablePull(self.cfg.host))
                if self.coordinator.shape is None:
                    self._send(seed, fleet.DocumentPull(self.cfg.host, 0))

    def _drive(self) -> None:
        """Give the orders that are due."""
        own = self.coordinator
        if own is None:
            return
        now = time.monotonic()
        if own.coordinates(now):
            self._announce(now)
        for order in own.orders(now):
            host = own.hosts.get(order.rank)
            if host == self.cfg.host:
                self.spawn(self._carry_out(order, ''))
            elif self._goes_afar(order):
                self.spawn(self._carry_out_afar(order, host))
            elif host is not None:
                self._send(host, rankmaps.EngineOrder(self.cfg.host, order))
        for rank in own.ranks_to_poll(now):
            if now >= self._far_read_at.get(rank, 0.0) + FAR_READ_INTERVAL_S:
                self._far_read_at[rank] = now
                self.spawn(self._read_afar(rank))
        self._log_switch()

    def _goes_afar(self, order: rankmaps.Order) -> bool:
        """Tell whether an order is given from here to another host's engine.

        Holds are: when the giver of a hold is lost, the host of the rank
        that holds is another one.
        """
        active = self.coordinator.active
        if active is None:
            return False
        if active.is_unanswered(order.rank):
            logs.warning(
                'agent_silent', rank=order.rank, kind=order.kind.value
            )
            return True
        return order.kind is rankmaps.OrderKind.HOLD

    async def _carry_out_afar(self, order: rankmaps.Order, host: str) -> None:
        """Give an order to the engine of another host."""
        known = self.coordinator.last_report(order.rank)
        far = self._engine_at(host)
        if far is None or known is None:
            return
        try:
            if await far.order(order):
                self._read(host, order.applied_to(known))
            else:
                await self._read_report()
                self._read(host, await far.report())
        except engines.EngineError as exc:
            logs.warning('engine_unreadable', host=host, reason=str(exc))

    async def _read_afar(self, rank: int) -> None:
        host = self.coordinator.hosts[rank]
        far = self._engine_at(host)
        if far is None:
            return
        try:
            self._read(host, await far.report())
        except engines.EngineError as exc:
            logs.warning('engine_unreadable', host=host, reason=str(exc))

    def _engine_at(self, host: str) -> engines.Engine | None:
        """Return a client for the engine beside another agent."""
        if host not in self._far and host in self.addresses:
            self._far[host] = self.make_engine(self.addresses[host])
        return self._far.get(host)

    def _read(self, host: str, report: rankmaps.RankReport) -> None:
        """Take a report that another agent would have sent."""
        status = rankmaps.RankStatus(host, report)
        self.coordinator.handle_status(status, time.monotonic())
        self._drive()

    async def _carry_out(self, order: rankmaps.Order, asker: str) -> None:
        """Pass an order on and report what has become of it."""
        if self.coordinator is not None:
            self.coordinator.keep_prepared_map(order)
        await self._give(order)
        try:
            report = await self._report_after(order)
        except engines.EngineError as exc:
            logs.warning('engine_unreadable', reason=str(exc))
            return
        status = rankmaps.RankStatus(self.cfg.host, report)
        if asker:
            self._send(asker, status)
        elif self.coordinator is not None:
            self.coordinator.handle_status(status, time.monotonic())
            self._drive()

    async def _give(self, order: rankmaps.Order) -> None:
        """Give an order to the own engine; one to prepare more than once.

        An engine that leaves one order in ten unanswered would otherwise
        delay nearly every map of a large group by the coordinator's retry.
        """
        is_prepare = order.kind is rankmaps.OrderKind.PREPARE
        for _ in range(PREPARE_TRIES if is_prepare else 1):
            try:
                await self.engine.order(order)
                return
            except engines.EngineError as exc:
                logs.warning(
                    'order_unanswered',
                    kind=order.kind.value,
                    version=order.version,
                    step=order.step,
                    reason=str(exc),
                )

    async def _report_after(
        self, order: rankmaps.Order
    ) -> rankmaps.RankReport:
        report = await self._read_report()
        if order.kind is not rankmaps.OrderKind.PREPARE:
            return report
        for _ in range(PREPARE_POLLS):
            if (report.prepared or 0) >= order.version:
                break
            await asyncio.sleep(PREPARE_POLL_S)
            report = await self._read_report()
        return report

    # Messages.

    def _beacon(
        self, sender: links.Sender, message: rankmaps.GroupBeacon
    ) -> None:
        own = self.coordinator
        if own is None or not own.handle_beacon(message, time.monotonic()):
            return
        if message.host != self.coordinator_host:
            logs.info(
                'coordinator_heard', host=message.host, rank=message.rank
            )
            self.coordinator_host = message.host

    def _status(
        self, sender: links.Sender, message: rankmaps.RankStatus
    ) -> None:
        if self.coordinator is not None:
            self.coordinator.handle_status(message, time.monotonic())
            if self.coordinator.active is not None:
                self._drive()

    def _ordered(
        self, sender: links.Sender, message: rankmaps.EngineOrder
    ) -> None:
        self.spawn(self._carry_out(message.order, message.host))

    def _table(self, sender: links.Sender, message: fleet.TableDump) -> None:
        self.addresses = {
            upstream.address.rpartition(':')[0]: upstream.address
            for upstream in message.upstreams
            if upstream.service == self.cfg.service
        }

    def _document(
        self, sender: links.Sender, message: fleet.DocumentPush
    ) -> None:
        table = self.decode_document(zlib.decompress(message.body))
        service = table.service(self.cfg.service)
        own = self.coordinator
        if own is None or service is None or service.engine is None:
            return
        figures = service.engine
        if figures.sets:
            own.shape = rankmaps.GroupShape(
                ranks=own.own_report.size,
                sets=figures.sets,
                experts=figures.experts,
                placements=figures.placements,
                spare=figures.spare,
                slots=figures.slots,
                expert_share=figures.expert_share,
                stride=figures.stride,
                step_s=figures.step_s,
                step_per_request_s=figures.step_per_request_s,
                longest_pause_s=table.shortest_gap_s(service.name),
            )

    def _send(self, host: str, message: object) -> None:
        self.links.send(self.cfg.link_of(host), message)

    def _log_switch(self) -> None:
        """Log each change of what is under way."""
        active = self.coordinator.active
        now = (0, '')
        if isinstance(active, rankmaps.Switch):
            now = (active.version, active.phase.value)
        elif active is not None:
            now = (active.version, 'recovery')
        if now == self._logged:
            return
        self._logged = now
        plan = self.coordinator.plan
        logs.info(
            'map_switch',
            group=self.coordinator.own_report.group,
            version=now[0],
            phase=now[1] or 'none',
            step=active.step if active is not None else 0,
            own_step=self.coordinator.own_report.step,
            copies=plan.copies if plan is not None else 0,
            skew=plan.before if plan is not None else 0.0,
            expected=plan.after if plan is not None else 0.0,
            reason=getattr(active, 'reason', ''),
        )
