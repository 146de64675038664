"""The process of a rank's agent.

It polls the counters and the state of its engine, sends it the coordinator's
orders, and coordinates the expert maps of the group when its rank is the
lowest one whose beacons arrive.
"""

import asyncio
from collections.abc import Callable
import random
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
from cassiashift_daemon.ranks import observation
from cassiashift_daemon import seeds
from cassiashift_net import links

STATUS_INTERVAL_S = 0.5
# Orders of a running switch are due within some tens of milliseconds.
ORDER_INTERVAL_S = 0.05
# A check takes 0.08 ms for 63 ranks.
SLOW_RANKS_INTERVAL_S = 0.1
FLEET_INTERVAL_S = 4.0
# Without a configuration no map is planned. After a restart of all hosts the
# entries have none yet when it is first requested.
DOCUMENT_INTERVAL_S = 0.5
RELOAD_INTERVAL_S = 2.0
STOP_TIMEOUT_S = 2.0
LINK_LOAD_INTERVAL_S = 2.0
GROUP_LOAD_INTERVAL_S = 2.0
# Share of the link that other agents' messages may take before it is logged.
LOGGED_LINK_SHARE = 0.5
# Copying takes 50 ms per expert; the state is polled until it is complete.
PREPARE_POLL_S = 0.05
PREPARE_POLLS = 14
# A pass takes up to some 0.2 s; after that, the periodic reports suffice.
SWITCH_POLL_S = 0.1
SWITCH_POLLS = 6
# Preparing a version is idempotent, so an order without an answer is retried
# at once.
PREPARE_ATTEMPTS = 3
# Reports from other hosts have a cost and are a few hundred milliseconds old.
REMOTE_READ_INTERVAL_S = 0.5


class RankAgent(lifecycle.Process):
    """The agent of one rank, which may coordinate the maps of its group."""

    def __init__(
        self,
        read_config: Callable[[], config.RankAgentConfig],
        make_engine: Callable[[str], engines.Engine],
        decode_document: Callable[[bytes], routes.RouteTable],
    ) -> None:
        """Create the parts that need no event loop.

        Args:
            read_config: reads and checks the settings.
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
        self._last_counts: engines.ChoiceCounts | None = None
        self._choices = rankmaps.ChoiceReports(
            STATUS_INTERVAL_S, self.cfg.link_bytes_per_s
        )
        self._last_experts: engines.HeldExperts | None = None
        self._remote_engines: dict[str, engines.Engine] = {}
        self._remote_read_at: dict[int, float] = {}
        self._beacon_at = 0.0
        self._fleet_at = 0.0
        self._document_at = 0.0
        self._document_pulls = 0
        self._logged_switch = (0, '')
        self._pass_times = observation.PassTimes()
        self._processor_times = observation.ProcessorTimes()
        # The running switch, and what was measured of it.
        self._switch: rankmaps.Switch | None = None
        self._switch_times: observation.SwitchTimes | None = None
        self._logged_slow_hosts: list[str] = []
        # Bytes sent and received at the last look at the load of the link.
        self._link_bytes = (0, 0)
        # The last order that was sent to each host as a change of a map.
        self._sent_maps: dict[str, rankmaps.Order] = {}

    @property
    def stop_timeout_s(self) -> float:
        """Return the seconds allowed for a planned stop."""
        return STOP_TIMEOUT_S

    async def open(self) -> None:
        """Open the links and the engine's client; start the periodic tasks."""
        cfg = self.cfg
        self.engine = self.make_engine(cfg.engine)
        self.dispatcher = dispatch.Dispatcher()
        self.links = links.Links.from_config(
            cfg.host, self.dispatcher.dispatch
        )
        self.links.bind(cfg.link_of(cfg.host))
        register = self.dispatcher.register
        register(rankmaps.GroupBeacon, self._on_beacon)
        register(rankmaps.RankStatus, self._on_status)
        register(rankmaps.EngineOrder, self._on_order)
        register(rankmaps.MapChange, self._on_map_change)
        register(rankmaps.MapRequest, self._on_map_request)
        register(fleet.TableDump, self._on_table)
        register(fleet.DocumentPush, self._on_document)
        self.spawn(self._report_forever())
        self.spawn(
            self.run_periodically(ORDER_INTERVAL_S, self._send_due_orders)
        )
        self.spawn(
            self.run_periodically(SLOW_RANKS_INTERVAL_S, self._send_slow_ranks)
        )
        self.spawn(self.run_periodically(RELOAD_INTERVAL_S, self.reload))
        self.spawn(
            self.run_periodically(LINK_LOAD_INTERVAL_S, self._log_link_load)
        )
        self.spawn(
            self.run_periodically(GROUP_LOAD_INTERVAL_S, self._log_group_load)
        )
        logs.info('started', host=cfg.host, engine=cfg.engine)

    async def drain(self) -> None:
        """Wait until no switch or recovery is running here."""
        while self.coordinator is not None and self.coordinator.active:
            await asyncio.sleep(ORDER_INTERVAL_S)

    async def close(self) -> None:
        """Close the links and the clients of engines."""
        version, phase = self._active_phase()
        logs.final_info('stopped', version=version, phase=phase or 'none')
        for engine in (self.engine, *self._remote_engines.values()):
            await engine.close()
        self.links.close()

    def reload(self) -> None:
        """Read the settings again; only a change of the seeds applies."""
        self.cfg = seeds.reload_seeds(self.cfg, self.read_config)

    async def _report_forever(self) -> None:
        while True:
            started = time.monotonic()
            try:
                await self._report_status()
            except engines.EngineError as exc:
                logs.warning('engine_unreadable', reason=str(exc))
            spent_s = time.monotonic() - started
            await asyncio.sleep(max(0.05, STATUS_INTERVAL_S - spent_s))

    async def _report_status(self) -> None:
        """Read the engine and send its status to the coordinator."""
        report = await self._read_report()
        now = time.monotonic()
        coordinates = self.coordinator.coordinates(now)
        if not coordinates and not self.coordinator_host:
            return
        await self._count_choices()
        choices = self._choices.take(report.rank, report.size)
        status = rankmaps.RankStatus(
            self.cfg.host, report, await self._own_experts(report), choices
        )
        if coordinates:
            self._handle_status(status)
        else:
            self._send(self.coordinator_host, status)

    async def _read_report(self) -> rankmaps.RankReport:
        report = await self.engine.report()
        now = time.monotonic()
        if self.coordinator is None:
            self.coordinator = rankmaps.Coordinator(
                report,
                self.cfg.host,
                version_skip=random.randrange(rankmaps.MAX_VERSION_SKIP),
            )
            logs.info(
                'group_joined',
                group=report.group,
                epoch=report.epoch,
                rank=report.rank,
                size=report.size,
            )
        self.coordinator.record_own_report(report, now)
        return report

    async def _count_choices(self) -> None:
        """Add the choices since the last call to those to be reported."""
        total = await self.engine.choice_counts()
        last, self._last_counts = self._last_counts, total
        if last is None or last.epoch != total.epoch:
            self._choices.discard()
            return
        new = [
            max(0, count - old)
            for count, old in zip(total.counts, last.counts, strict=False)
        ]
        if any(new):
            self._choices.add(new, time.monotonic())

    async def _own_experts(
        self, report: rankmaps.RankReport
    ) -> tuple[tuple[int, ...], ...]:
        """Return the experts of this rank on the reported map.

        Empty if the engine switched maps after the report.
        """
        expected = (report.epoch, report.map_version)
        held = self._last_experts
        if held is None or (held.epoch, held.version) != expected:
            held = self._last_experts = await self.engine.held_experts()
        if (held.epoch, held.version) != expected:
            return ()
        return held.experts

    def _send_beacons_and_pulls(self, now: float) -> None:
        """Send a beacon to the group and pulls to the seeds, if due."""
        if now - self._beacon_at >= rankmaps.BEACON_INTERVAL_S:
            self._beacon_at = now
            report = self.coordinator.own_report
            beacon = rankmaps.GroupBeacon(
                self.cfg.host, report.group, report.epoch, report.rank
            )
            members = set(self.coordinator.hosts.values())
            is_complete = len(members) == report.size
            for host in members if is_complete else self.addresses:
                if host != self.cfg.host:
                    self._send(host, beacon)
        if now - self._fleet_at >= FLEET_INTERVAL_S:
            self._fleet_at = now
            for seed in self.cfg.seeds[:2]:
                self._send(seed, fleet.TablePull(self.cfg.host))
        if (
            self.coordinator.shape is None
            and self.cfg.seeds
            and now - self._document_at >= DOCUMENT_INTERVAL_S
        ):
            self._document_at = now
            seed = self.cfg.seeds[self._document_pulls % len(self.cfg.seeds)]
            self._document_pulls += 1
            self._send(seed, fleet.DocumentPull(self.cfg.host, 0))

    def _send_slow_ranks(self) -> None:
        """Tell two entries which ranks are slow, if that is due."""
        if self.coordinator is None:
            return
        rows = self.coordinator.slow_ranks_to_announce(time.monotonic())
        if rows is None:
            return
        message = fleet.RankSlowdowns(self.cfg.host, self.cfg.service, rows)
        for seed in self.cfg.seeds[:2]:
            self._send(seed, message)
        slow_hosts = sorted(host for host, _ in rows)
        if slow_hosts != self._logged_slow_hosts:
            self._logged_slow_hosts = slow_hosts
            logs.info(
                'slow_ranks',
                group=self.coordinator.own_report.group,
                slow=','.join(f'{host}:{ratio:.2f}' for host, ratio in rows),
                reports=self.coordinator.slow_ranks.report_count,
                size=self.coordinator.own_report.size,
            )

    def _send_due_orders(self) -> None:
        """Send the due orders and poll ranks whose agents are silent."""
        coordinator = self.coordinator
        if coordinator is None:
            return
        now = time.monotonic()
        if coordinator.coordinates(now):
            self._send_beacons_and_pulls(now)
        with self._processor_times.measure('decisions'):
            orders = coordinator.orders(now)
        self._observe_switch(now)
        with self._processor_times.measure('orders'):
            for order in orders:
                self._send_to_rank(order)
        for rank in coordinator.ranks_to_poll(now):
            if (
                now
                >= self._remote_read_at.get(rank, 0.0) + REMOTE_READ_INTERVAL_S
            ):
                self._remote_read_at[rank] = now
                self.spawn(self._read_remote_engine(rank))
        self._log_switch()

    def _send_to_rank(self, order: rankmaps.Order) -> None:
        """Send an order to the own engine, another agent or its engine."""
        if self._switch_times is not None:
            self._switch_times.record_order(order)
        host = self.coordinator.hosts.get(order.rank)
        if host == self.cfg.host:
            self.spawn(self._execute(order, ''))
        elif self._is_sent_directly(order):
            self.spawn(self._send_to_remote_engine(order, host))
        elif host is not None:
            self._send_order(host, order)

    def _handle_status(self, status: rankmaps.RankStatus) -> None:
        """Pass a status of any rank to the coordinator."""
        now = time.monotonic()
        with self._processor_times.measure('statuses'):
            self._pass_times.record(status.report, now)
            self.coordinator.handle_status(status, now)

    def _send_order(self, host: str, order: rankmaps.Order) -> None:
        """Send an order to another agent, a map as a change if possible."""
        message = self.coordinator.as_change(order)
        if message is None:
            message = rankmaps.EngineOrder(self.cfg.host, order)
        else:
            self._sent_maps[host] = order
        self._send(host, message)

    def _is_sent_directly(self, order: rankmaps.Order) -> bool:
        """Return whether an order bypasses the agent of another host.

        It does when that agent doesn't answer. A hold always does, so that
        the loss of the sender's host does not also lose the rank that holds.
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

    async def _send_to_remote_engine(
        self, order: rankmaps.Order, host: str
    ) -> None:
        """Send an order straight to the engine of another host."""
        last_report = self.coordinator.last_report(order.rank)
        remote = self._remote_engine(host)
        if remote is None or last_report is None:
            return
        try:
            is_confirmed = await remote.send_order(order)
            if is_confirmed and not order.is_confirmed_early:
                self._apply_report(host, order.applied_to(last_report))
            else:
                await self._read_report()
                self._apply_report(host, await remote.report())
        except engines.EngineError as exc:
            logs.warning('engine_unreadable', host=host, reason=str(exc))

    async def _read_remote_engine(self, rank: int) -> None:
        host = self.coordinator.hosts[rank]
        remote = self._remote_engine(host)
        if remote is None:
            return
        try:
            self._apply_report(host, await remote.report())
        except engines.EngineError as exc:
            logs.warning('engine_unreadable', host=host, reason=str(exc))

    def _remote_engine(self, host: str) -> engines.Engine | None:
        """Return the client of another host's engine; None if unknown."""
        if host not in self._remote_engines and host in self.addresses:
            self._remote_engines[host] = self.make_engine(self.addresses[host])
        return self._remote_engines.get(host)

    def _apply_report(self, host: str, report: rankmaps.RankReport) -> None:
        """Handle a report on behalf of the other host's silent agent."""
        self._handle_status(rankmaps.RankStatus(host, report))
        self._send_due_orders()

    async def _execute(self, order: rankmaps.Order, requester: str) -> None:
        """Send an order to the own engine and report the resulting state.

        Args:
            requester: host of the coordinator; empty for this one.
        """
        if self.coordinator is not None:
            self.coordinator.keep_prepared_map(order)
        await self._send_to_own_engine(order)
        try:
            report = await self._report_after(order)
        except engines.EngineError as exc:
            logs.warning('engine_unreadable', reason=str(exc))
            return
        self._report_to(requester, report)
        if order.kind is rankmaps.OrderKind.ARM and report.armed is not None:
            await self._report_switched_map(requester)

    async def _report_switched_map(self, requester: str) -> None:
        """Report as soon as the armed map is in use.

        The coordinator plans the next map only when no rank is armed, and
        would learn that up to half a second later otherwise.
        """
        for _ in range(SWITCH_POLLS):
            await asyncio.sleep(SWITCH_POLL_S)
            try:
                report = await self._read_report()
            except engines.EngineError as exc:
                logs.warning('engine_unreadable', reason=str(exc))
                return
            if report.armed is None:
                self._report_to(requester, report)
                return

    def _report_to(self, requester: str, report: rankmaps.RankReport) -> None:
        """Send a report to the coordinator.

        Args:
            requester: host of the coordinator; empty for this one.
        """
        status = rankmaps.RankStatus(self.cfg.host, report)
        if requester:
            self._send(requester, status)
        elif self.coordinator is not None:
            self._handle_status(status)
            self._send_due_orders()

    async def _send_to_own_engine(self, order: rankmaps.Order) -> None:
        """Send an order to the own engine, with retries for a prepare order.

        An engine that leaves one order in ten unanswered would otherwise
        delay nearly every map of a large group until the coordinator retries.
        """
        is_prepare = order.kind is rankmaps.OrderKind.PREPARE
        for _ in range(PREPARE_ATTEMPTS if is_prepare else 1):
            try:
                await self.engine.send_order(order)
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

    def _on_beacon(
        self, sender: links.Sender, message: rankmaps.GroupBeacon
    ) -> None:
        coordinator = self.coordinator
        if coordinator is None or not coordinator.handle_beacon(
            message, time.monotonic()
        ):
            return
        if message.host != self.coordinator_host:
            logs.info(
                'coordinator_heard', host=message.host, rank=message.rank
            )
            self.coordinator_host = message.host

    def _on_status(
        self, sender: links.Sender, message: rankmaps.RankStatus
    ) -> None:
        if self.coordinator is not None:
            self._handle_status(message)
            if self.coordinator.active is not None:
                self._send_due_orders()

    def _on_order(
        self, sender: links.Sender, message: rankmaps.EngineOrder
    ) -> None:
        self.spawn(self._execute(message.order, message.host))

    def _on_map_change(
        self, sender: links.Sender, message: rankmaps.MapChange
    ) -> None:
        order = None
        if self.coordinator is not None:
            order = self.coordinator.complete(message)
        if order is not None:
            self.spawn(self._execute(order, message.host))
            return
        logs.info(
            'map_requested',
            version=message.order.version,
            base=message.base,
            epoch=message.order.epoch,
        )
        request = rankmaps.MapRequest(self.cfg.host, message.order.version)
        self._send(message.host, request)

    def _on_map_request(
        self, sender: links.Sender, message: rankmaps.MapRequest
    ) -> None:
        order = self._sent_maps.pop(message.host, None)
        if order is not None and order.version == message.version:
            self._send(
                message.host, rankmaps.EngineOrder(self.cfg.host, order)
            )

    def _on_table(
        self, sender: links.Sender, message: fleet.TableDump
    ) -> None:
        self.addresses = {
            upstream.address.rpartition(':')[0]: upstream.address
            for upstream in message.upstreams
            if upstream.service == self.cfg.service
        }

    def _on_document(
        self, sender: links.Sender, message: fleet.DocumentPush
    ) -> None:
        table = self.decode_document(zlib.decompress(message.body))
        service = table.service(self.cfg.service)
        coordinator = self.coordinator
        if coordinator is None or service is None or service.engine is None:
            return
        engine = service.engine
        if engine.sets:
            coordinator.shape = rankmaps.GroupShape(
                ranks=coordinator.own_report.size,
                sets=engine.sets,
                experts=engine.experts,
                placements=engine.placements,
                spare=engine.spare,
                slots=engine.slots,
                expert_share=engine.expert_share,
                stride=engine.stride,
                step_s=engine.step_s,
                step_per_request_s=engine.step_per_request_s,
                longest_pause_s=table.shortest_gap_s(service.name),
            )

    def _send(self, host: str, message: object) -> None:
        self.links.send(self.cfg.link_of(host), message)

    def _log_link_load(self) -> None:
        """Log what the links carry if it is much for the host's link."""
        before = self._link_bytes
        self._link_bytes = self.links.sent_bytes, self.links.received_bytes
        sent, received = (
            (total - last) / LINK_LOAD_INTERVAL_S
            for total, last in zip(self._link_bytes, before, strict=True)
        )
        rate = self.cfg.link_bytes_per_s
        if max(sent, received) > LOGGED_LINK_SHARE * rate > 0:
            logs.warning(
                'link_load',
                sent_per_s=sent,
                received_per_s=received,
                rate_per_s=rate,
                members=len(self.coordinator.hosts) if self.coordinator else 0,
            )

    def _log_group_load(self) -> None:
        """Log the passes of the group and what coordinating it takes."""
        coordinator = self.coordinator
        passes = self._pass_times.take()
        spent_s = self._processor_times.take()
        if coordinator is None or not passes['passes']:
            return
        if coordinator.coordinates(time.monotonic()):
            logs.info(
                'group_load',
                group=coordinator.own_report.group,
                size=coordinator.own_report.size,
                skew=coordinator.skew,
                slowdown=coordinator.slow_ranks.highest_ratio,
                **passes,
                **spent_s,
            )

    def _observe_switch(self, now: float) -> None:
        """Measure the running switch, and log it once it has ended."""
        active = self.coordinator.active
        if self._switch is not None:
            self._switch_times.record(
                self._switch, self._pass_times.newest_step, now
            )
        if active is self._switch:
            return
        if self._switch is not None:
            logs.info(
                'map_switch_ended',
                group=self.coordinator.own_report.group,
                version=self._switch.version,
                committed=self._switch.is_committed,
                reason=self._switch.reason,
                **self._switch_times.summary(now),
            )
        self._switch = self._switch_times = None
        if isinstance(active, rankmaps.Switch):
            self._switch = active
            self._switch_times = observation.SwitchTimes(active.phase, now)

    def _active_phase(self) -> tuple[int, str]:
        """Return version and phase of the running switch or recovery.

        The version is 0 and the phase empty if there is none.
        """
        active = None if self.coordinator is None else self.coordinator.active
        if active is None:
            return 0, ''
        if isinstance(active, rankmaps.Switch):
            return active.version, active.phase.value
        return active.version, 'recovery'

    def _log_switch(self) -> None:
        """Log each change of the running switch or recovery."""
        active = self.coordinator.active
        current = self._active_phase()
        if current == self._logged_switch:
            return
        self._logged_switch = current
        plan = self.coordinator.plan
        logs.info(
            'map_switch',
            group=self.coordinator.own_report.group,
            version=current[0],
            phase=current[1] or 'none',
            step=active.step if active is not None else 0,
            own_step=self.coordinator.own_report.step,
            copies=plan.copies if plan is not None else 0,
            skew=plan.before if plan is not None else 0.0,
            expected=plan.after if plan is not None else 0.0,
            reason=getattr(active, 'reason', ''),
        )
