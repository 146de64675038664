"""The role ``entry``: serves callers and operators, and may vote."""

import asyncio
import random
import time
from typing import Any
import urllib.parse

from aiohttp import web

from cassiashift_core import admission
from cassiashift_core import consensus
from cassiashift_core import directory
from cassiashift_core import draining
from cassiashift_core import retries
from cassiashift_core import routing
from cassiashift_core import state
from cassiashift_daemon import admin
from cassiashift_daemon import callers
from cassiashift_daemon import calls
from cassiashift_daemon import gate
from cassiashift_daemon import lifecycle
from cassiashift_daemon import logs
from cassiashift_daemon import members
from cassiashift_daemon import metrics
from cassiashift_daemon import once
from cassiashift_daemon import proposals
from cassiashift_daemon import puller
from cassiashift_daemon import recorder
from cassiashift_daemon import remote
from cassiashift_daemon import settings
from cassiashift_daemon import shared_state
from cassiashift_daemon import storage
from cassiashift_daemon import views
from cassiashift_daemon import voter
from cassiashift_net import links
from cassiashift_net import messages

SHUTDOWN_TIMEOUT_S = 1.0
GATE_INTERVAL_S = 0.02
VIEW_INTERVAL_S = 0.2
DRAIN_INTERVAL_S = 0.1
MAX_HEADER_BYTES = 16 * 1024


class EntryProcess(lifecycle.Process):
    """One entry."""

    def __init__(self, cfg: settings.EntrySettings) -> None:
        """Build the parts that need no loop."""
        super().__init__()
        self.cfg = cfg
        self.incarnation = time.time_ns()
        seed = cfg.seed or self.incarnation
        self.rng = random.Random(seed)
        self.holder = shared_state.SharedHolder()
        self.holder.on_change = self._shared_changed
        self.metrics = metrics.Metrics.from_config(cfg.statsd, 'entry')
        self.events = recorder.Recorder.from_config(cfg, 'entry')
        self.voter: voter.Voter | None = None
        self.leaving = False
        self.http_address = cfg.advertise or f'http://{cfg.http}'
        self._agent_senders: dict[str, links.Sender] = {}

    @classmethod
    def from_config(cls, cfg: settings.EntrySettings) -> 'EntryProcess':
        """Return an entry for checked settings."""
        return cls(cfg)

    @property
    def stop_timeout_s(self) -> float:
        """Return the seconds that a planned stop may take."""
        return self.cfg.stop_timeout_s

    async def open(self) -> None:
        """Open the link, the replica, the timers and the HTTP server."""
        self.links = links.Links.from_config(self.cfg.host, self._received)
        self.link_address = self.links.bind(self.cfg.link)
        self._build_decisions()
        self._open_state()
        self._start_timers()
        await self._serve_http()
        logs.info(
            'entry_started',
            host=self.cfg.host,
            link=self.link_address,
            http=self.http_address,
            votes=self.voter is not None,
        )

    async def drain(self) -> None:
        """Leave the directory, serve old answers, then end."""
        self.leaving = True
        self._announce()
        if self.voter is not None:
            self.voter.handle(consensus.HandOver())
        machine = draining.EntryDrain.from_config(
            draining.DrainConfig(max_ttl_s=self.directory.cfg.max_ttl_s)
        )
        machine.handle(draining.StopRequested(), time.monotonic())
        while machine.state != 'ended':
            await asyncio.sleep(DRAIN_INTERVAL_S)
            now = time.monotonic()
            machine.handle(
                draining.InFlightChanged(self.callers.in_flight), now
            )
            machine.handle(draining.Tick(), now)
        await self.callers.idle()
        logs.info('entry_drained', host=self.cfg.host)

    async def close(self) -> None:
        """Close the HTTP server, the links and the data folder."""
        await self.runner.cleanup()
        self.links.close()
        if self.voter is not None:
            self.voter.store.close()

    def _build_decisions(self) -> None:
        cfg = self.cfg
        self.members = members.Members(
            cfg.liveness_timeout_s, self._agent_lost
        )
        self.directory = directory.Directory.from_config(
            directory.DirectoryConfig(ttl_s=cfg.directory_ttl_s), self.rng
        )
        self.router = routing.Router.from_config(None, self.rng)
        self.gate = gate.Gate(admission.Admission.from_config())
        self.attempts = remote.RemoteAttempts(self.links)
        self.proposer = proposals.Proposer(
            cfg.host, self.links, cfg.voter_addresses()
        )
        call_runner = calls.CallRunner(
            host=cfg.host,
            epoch=self.incarnation,
            gate=self.gate,
            router=self.router,
            members=self.members,
            attempts=self.attempts,
            budget=retries.RetryBudget(),
            record=self.events.record,
        )
        self.callers = callers.CallerApi(
            cfg=cfg,
            holder=self.holder,
            directory=self.directory,
            runner=call_runner,
            once=once.OnceRunner(
                call_runner, self.proposer, cfg.ledger_retention_s
            ),
            record=self.events.record,
            is_ready=lambda: self.holder.confirmed,
            is_leaving=lambda: self.leaving,
        )
        self.admin = admin.AdminApi(
            cfg=cfg,
            holder=self.holder,
            members=self.members,
            proposer=self.proposer,
            events=self.events,
            voter_status=self._voter_status,
        )

    def _open_state(self) -> None:
        cfg = self.cfg
        addresses = cfg.voter_addresses()
        self.puller = puller.Puller(
            self.links,
            self.holder,
            tuple(
                address
                for host, address in addresses.items()
                if host != cfg.host
            ),
        )
        if not cfg.data_dir:
            self.spawn(self.every(cfg.pull_interval_s, self.puller.pull))
            return
        store = storage.Storage.open(cfg.data_dir, cfg.deployment, cfg.host)
        saved = store.load()
        replica = consensus.Replica.from_config(
            consensus.ReplicaConfig(host=cfg.host, voters=tuple(addresses)),
            saved,
            self.rng,
        )
        self.voter = voter.Voter(
            replica=replica,
            store=store,
            machine=state.StateMachine(),
            links=self.links,
            addresses=addresses,
            on_change=self._voter_changed,
        )
        self.spawn(self.voter.sync_forever())
        self.spawn(self.every(cfg.tick_interval_s, self.voter.tick))
        self.spawn(self.every(cfg.pull_interval_s, self._confirm))

    def _start_timers(self) -> None:
        cfg = self.cfg
        self.spawn(self.every(GATE_INTERVAL_S, self.gate.tick))
        self.spawn(self.every(VIEW_INTERVAL_S, self._refresh))
        self.spawn(self.every(cfg.announce_interval_s, self._announce))

    async def _serve_http(self) -> None:
        app = web.Application(
            client_max_size=self.cfg.max_body_bytes,
            handler_args={'max_line_size': MAX_HEADER_BYTES},
        )
        app.add_routes(self.callers.routes())
        app.add_routes(self.admin.routes())
        self.runner = web.AppRunner(
            app,
            handler_cancellation=True,
            access_log=None,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        await self.runner.setup()
        parts = urllib.parse.urlsplit(f'//{self.cfg.http}')
        site = web.TCPSite(
            self.runner, parts.hostname, parts.port, reuse_address=True
        )
        await site.start()

    def _received(self, sender: links.Sender, message: Any) -> None:
        now = time.monotonic()
        match message:
            case messages.Replication():
                if self.voter is not None:
                    self.voter.received(sender, message.data)
            case messages.Proposal():
                self._proposal(sender, message)
            case messages.ProposalAnswer():
                self.proposer.answered(message)
            case messages.Announce():
                self._agent_senders[message.host] = sender
                self.members.announced(message, now)
            case messages.EntryState():
                self.members.entry_heard(message, now)
            case messages.PullState():
                self._answer_pull(sender, message)
            case messages.SharedState():
                self.puller.received(message)
            case _:
                self.attempts.received(message)

    def _proposal(
        self, sender: links.Sender, message: messages.Proposal
    ) -> None:
        if self.voter is not None:
            self.voter.propose(sender, message)
            return
        sender.reply(messages.ProposalAnswer(message.token, b'', 'not_leader'))

    def _answer_pull(
        self, sender: links.Sender, message: messages.PullState
    ) -> None:
        if self.voter is None:
            return
        if not message.confirm:
            self._send_state(sender, message.revision, confirmed=False)
            return

        def done(is_ready: bool) -> None:
            if is_ready:
                self._send_state(sender, message.revision, confirmed=True)

        self.voter.read(done)

    def _send_state(
        self, sender: links.Sender, known: int, confirmed: bool
    ) -> None:
        data = b''
        if self.holder.revision > known:
            data = self.holder.shared.encode()
        sender.reply(
            messages.SharedState(self.holder.revision, data, confirmed)
        )

    def _voter_changed(self) -> None:
        shared = self.voter.machine.shared
        if shared.revision > self.holder.revision:
            self.holder.take(state.Shared.decode(shared.encode()))

    def _confirm(self) -> None:
        """Have the state of the log confirmed by a quorum after a start."""
        if self.holder.confirmed:
            return

        def done(is_ready: bool) -> None:
            self.holder.confirmed = self.holder.confirmed or is_ready

        self.voter.read(done)
        self.puller.confirm()

    def _shared_changed(self) -> None:
        logs.info('revision_in_force', revision=self.holder.revision)
        self.events.record('revision', revision=self.holder.revision)
        self._refresh()
        if self.voter is None or self.voter.replica.role.value != 'leader':
            return
        push = messages.SharedState(
            self.holder.revision, self.holder.shared.encode()
        )
        for sender in self._agent_senders.values():
            sender.reply(push)

    def _refresh(self) -> None:
        now = time.monotonic()
        self.members.expire(now)
        self.router.update_upstreams(
            views.upstream_views(self.holder, self.members), now
        )
        self.directory.update_entries(
            views.entry_views(self._own_state(), self.members), now
        )

    def _agent_lost(self, host: str) -> None:
        self._agent_senders.pop(host, None)
        self.attempts.host_lost(host)
        logs.warning('agent_lost', host=host)

    def _own_state(self) -> messages.EntryState:
        return messages.EntryState(
            host=self.cfg.host,
            data_centre=self.cfg.data_centre,
            incarnation=self.incarnation,
            link=self.link_address,
            http=self.http_address,
            revision=self.holder.revision,
            in_flight=self.callers.in_flight,
            draining=self.leaving,
        )

    def _announce(self) -> None:
        own = self._own_state()
        for host, address in self.cfg.voter_addresses().items():
            if host != self.cfg.host:
                self.links.send(address, own)

    def _voter_status(self) -> dict[str, Any]:
        if self.voter is None:
            return {'role': 'none', 'leader': self.proposer.leader}
        replica = self.voter.replica
        return {
            'role': replica.role.value,
            'leader': replica.leader,
            'term': replica.term,
            'commit_index': replica.commit_index,
        }
