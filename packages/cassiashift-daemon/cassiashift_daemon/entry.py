"""The role ``entry``: serves callers and operators; votes with a disk."""

import asyncio
import random
import time
from typing import Any

from cassiashift_core import admission
from cassiashift_core import CassiashiftError
from cassiashift_core import consensus
from cassiashift_core import directory
from cassiashift_core import draining
from cassiashift_core import ErrorCode
from cassiashift_core import evacuation
from cassiashift_core import heads
from cassiashift_core import mapswitch
from cassiashift_core import membership
from cassiashift_core import retries
from cassiashift_core import routing
from cassiashift_core import spread
from cassiashift_core import state
from cassiashift_daemon import admin
from cassiashift_daemon import at_most_once
from cassiashift_daemon import callers
from cassiashift_daemon import calls
from cassiashift_daemon import collecting
from cassiashift_daemon import coordination
from cassiashift_daemon import gate
from cassiashift_daemon import gathering
from cassiashift_daemon import lending
from cassiashift_daemon import logs
from cassiashift_daemon import members
from cassiashift_daemon import planning
from cassiashift_daemon import presence
from cassiashift_daemon import proposals
from cassiashift_daemon import remote
from cassiashift_daemon import request_guard
from cassiashift_daemon import role_process
from cassiashift_daemon import settings
from cassiashift_daemon import sharing
from cassiashift_daemon import spreading
from cassiashift_daemon import storage
from cassiashift_daemon import surveys
from cassiashift_daemon import voter
from cassiashift_daemon import webserver
from cassiashift_net import links
from cassiashift_net import messages
from cassiashift_net import proposal_messages
from cassiashift_net import tls

GATE_INTERVAL_S = 0.02
VIEW_UPDATE_INTERVAL_S = 0.2
METRICS_INTERVAL_S = 1.0
DRAIN_INTERVAL_S = 0.1


class EntryProcess(role_process.RoleProcess):
    """The process of an entry.

    ``voter``, ``coordination`` and ``planning`` are None without a data
    folder.
    """

    def __init__(self, cfg: settings.EntrySettings) -> None:
        """Build the parts that need no running event loop."""
        super().__init__(cfg, 'entry')
        if cfg.seed:
            self.rng = random.Random(cfg.seed)
        self.holder.on_change = self._state_changed
        self.callers: callers.CallerApi | None = None
        self.voter: voter.Voter | None = None
        self.coordination: coordination.Coordination | None = None
        self.planning: planning.Planning | None = None
        self.evacuations = evacuation.EvacuationView()
        self.tls = tls.server_context(cfg.tls_cert_file, cfg.tls_key_file)
        scheme = 'https' if self.tls else 'http'
        self.http_address = cfg.advertise or f'{scheme}://{cfg.http}'

    @classmethod
    def from_config(cls, cfg: settings.EntrySettings) -> 'EntryProcess':
        """Return an entry; the settings must have been checked."""
        return cls(cfg)

    async def open(self) -> None:
        """Open the links, the log, the timers and the HTTP server."""
        cfg = self.cfg
        link = self.open_links()
        self._open_membership(link)
        self._open_spread()
        self._build_call_path()
        self._build_interfaces()
        self._open_voter()
        self._register_handlers()
        self._start_timers()
        self.listener = await webserver.serve(
            cfg.http,
            self.callers.routes() + self.admin.routes(),
            cfg.max_body_bytes,
            self.tls,
            self._head_limits,
        )
        logs.info(
            'entry_started',
            host=cfg.host,
            link=link,
            http=self.http_address,
            votes=self.voter is not None,
        )

    async def drain(self) -> None:
        """Leave the directory; return once callers have gone elsewhere.

        Callers may keep an answer of the directory for its time to live, and
        are served until then.
        """
        self.leaving = True
        self.presence.handle(membership.Leaving())
        if self.voter is not None:
            self.voter.hand_over()
        machine = draining.EntryDrain.from_config(
            draining.DrainConfig(max_ttl_s=self.directory.cfg.max_ttl_s)
        )
        machine.handle(draining.StopRequested(), time.monotonic())
        while machine.state != 'ended':
            await asyncio.sleep(DRAIN_INTERVAL_S)
            if not machine.accepts_calls:
                await self.listener.stop()
            now = time.monotonic()
            machine.handle(
                draining.InFlightChanged(self.callers.in_flight), now
            )
            machine.handle(draining.Tick(), now)
        await self.callers.wait_idle()
        await self.listener.finish(self.callers.wait_idle)
        logs.info('entry_drained', host=self.cfg.host)

    def _head_limits(self) -> heads.HeadLimits:
        return heads.HeadLimits(
            head_bytes=self.cfg.max_header_bytes,
            head_s=self.cfg.header_timeout_s,
            connections=self.cfg.max_connections,
        )

    def unfinished(self) -> list[draining.Unfinished]:
        """Return the calls in progress."""
        return [] if self.callers is None else self.callers.unfinished()

    async def end_requests(self) -> None:
        """Give requests in progress their final answers; close the server."""
        logs.final_info(
            'stopped',
            in_flight=self.callers.in_flight,
            connections=self.listener.connection_count,
            unsent_bytes=self.listener.unsent_bytes,
        )
        self.callers.end_all()
        await self.listener.close()

    async def close(self) -> None:
        """Close the links and the data folder."""
        self.links.close()
        if self.voter is not None:
            self.voter.store.close()

    def _open_membership(self, link: str) -> None:
        member = membership.Membership.from_config(
            self.membership_config(link, self.http_address), self.rng
        )
        self.presence = presence.PresenceRunner(
            member, self.peers, self._member_changed
        )
        self.lent = lending.LentUpstreams(member, self.links)
        self.members = members.Members(member, self.lent, self.holder)

    def _open_spread(self) -> None:
        self.open_spread(
            spread.SpreadConfig(
                host=self.cfg.host,
                voters=tuple(self.voters),
                parents=tuple(self.voters),
            )
        )

    def _build_call_path(self) -> None:
        cfg = self.cfg
        self.directory = directory.Directory.from_config(
            directory.DirectoryConfig(ttl_s=cfg.directory_ttl_s), self.rng
        )
        self.gate = gate.Gate(admission.AdmissionGate.from_config())
        self.attempts = remote.RemoteAttempts(self.links, self.events.record)
        self.links.on_lost = self.attempts.link_lost
        self.proposer = proposals.Proposer(cfg.host, self.links, self.voters)
        self.guard = request_guard.RequestGuard(
            host=cfg.host,
            peers=self.peers,
            member=self.presence.member,
            rng=self.rng,
        )
        self.calls = calls.CallRunner(
            host=cfg.host,
            epoch=self.epoch,
            gate=self.gate,
            router=routing.Router.from_config(None, self.rng),
            members=self.members,
            attempts=self.attempts,
            budget=retries.RetryBudget(),
            guard=self.guard,
            record=self.events.record,
        )

    def _build_interfaces(self) -> None:
        cfg = self.cfg
        member = self.presence.member
        self.sharer = sharing.LimitSharer(
            host=cfg.host,
            voters=self.voters,
            links=self.links,
            gate=self.gate,
            holder=self.holder,
            member=member,
        )
        self.limit_granter = sharing.LimitGranter.started_now()
        self.callers = callers.CallerApi(
            cfg=cfg,
            holder=self.holder,
            directory=self.directory,
            runner=self.calls,
            once=at_most_once.AtMostOnceRunner(
                self.calls, self.proposer, cfg.ledger_retention_s
            ),
            record=self.events.record,
            metrics=self.metrics,
            record_demand=self.sharer.record_demand,
            is_ready=lambda: self.holder.confirmed,
            is_leaving=lambda: self.leaving,
        )
        self.gatherer = gathering.Gatherer(cfg.host, self.links)
        self.surveyor = surveys.Surveyor(
            cfg.host, member, self.holder, self.gatherer
        )
        self.collector = collecting.EventCollector(
            self.events, member, self.gatherer
        )
        self.admin = admin.AdminApi(
            cfg=cfg,
            holder=self.holder,
            members=self.members,
            proposer=self.proposer,
            collector=self.collector,
            surveyor=self.surveyor,
            voter_status=self._voter_status,
            request_map=self._request_map,
            request_rollback=self._request_rollback,
            decisions=self._decisions,
            last_plans=lambda: (
                self.planning.last_plans if self.planning else {}
            ),
        )

    def _open_voter(self) -> None:
        cfg = self.cfg
        if not cfg.data_dir:
            self.spread.handle(spread.Restarted())
            return
        store = storage.Storage.open(cfg.data_dir, cfg.deployment, cfg.host)
        saved = store.load()
        replica = consensus.Replica.from_config(
            consensus.ReplicaConfig(host=cfg.host, voters=tuple(self.voters)),
            saved,
            self.rng,
        )
        self.voter = voter.Voter(
            replica=replica,
            store=store,
            machine=state.StateMachine(),
            links=self.links,
            addresses=self.voters,
            on_event=self.spread.handle,
            on_failed=self.fail,
        )
        self.coordination = coordination.Coordination.attach_to(
            self.voter, self.peers, self.holder
        )
        self.planning = planning.Planning(
            self.coordination, self.peers, self.holder, cfg.balance_window_s
        )
        self.spawn(self.planning.run_forever())
        last_index = saved.entries[-1].index if saved.entries else 0
        if saved.snapshot is not None:
            last_index = max(last_index, saved.snapshot.index)
        self.spread.handle(spread.Restarted(last_index))
        self.spawn(self.voter.sync_forever())
        self.spawn(self.run_periodically(cfg.tick_interval_s, self.voter.tick))
        self.spawn(
            self.run_periodically(
                coordination.TICK_INTERVAL_S, self.coordination.tick
            )
        )

    def _register_handlers(self) -> None:
        register = self.dispatcher.register
        register(proposal_messages.Proposal, self._handle_proposal)
        register(
            proposal_messages.ProposalAnswer,
            lambda sender, message: self.proposer.receive_answer(message),
        )
        register(messages.Survey, self._answer_survey)
        for cls in (messages.SurveyAnswer, messages.EventsAnswer):
            register(
                cls, lambda sender, message: self.gatherer.received(message)
            )
        register(messages.PoolQuery, self._answer_pool_query)
        register(
            messages.PoolAnswer,
            lambda sender, message: self.lent.received(message),
        )
        register(
            messages.ShareGrants,
            lambda sender, message: self.sharer.received(message),
        )
        register(messages.DemandReport, self.limit_granter.received)
        for cls in remote.MESSAGE_TYPES:
            register(
                cls, lambda sender, message: self.attempts.received(message)
            )
        for cls, handler in self.guard.handlers().items():
            register(cls, handler)
        self.register_shared_handlers()
        if self.voter is not None:
            for cls in consensus.MESSAGE_TYPES.values():
                register(cls, self.voter.received)
            for cls in mapswitch.REPORT_TYPES:
                register(cls, self.coordination.received)
            register(messages.ExpertCounts, self.planning.received)

    def _start_timers(self) -> None:
        self.spawn(
            self.run_periodically(
                VIEW_UPDATE_INTERVAL_S, self.guard.sharing.tick
            )
        )
        self.spawn(
            self.run_periodically(
                request_guard.PULL_INTERVAL_S, self.guard.pull
            )
        )
        self.spawn(self.run_periodically(GATE_INTERVAL_S, self.gate.tick))
        self.spawn(
            self.run_periodically(VIEW_UPDATE_INTERVAL_S, self._update_views)
        )
        self.spawn(
            self.run_periodically(METRICS_INTERVAL_S, self._send_gauges)
        )
        self.spawn(
            self.run_periodically(
                lending.REFRESH_INTERVAL_S, self.lent.refresh
            )
        )
        self.spawn(
            self.run_periodically(
                sharing.REPORT_INTERVAL_S, self.sharer.report
            )
        )
        self.spawn(
            self.run_periodically(
                sharing.DROP_IDLE_AFTER_S, self.limit_granter.drop_idle
            )
        )
        self.spawn(
            self.run_periodically(
                membership.TICK_INTERVAL_S, self.presence.tick
            )
        )
        self.spawn(
            self.run_periodically(spread.TICK_INTERVAL_S, self.spread.tick)
        )

    def _handle_proposal(
        self, sender: links.Sender, message: proposal_messages.Proposal
    ) -> None:
        if self.voter is not None:
            self.voter.propose(sender, message)
            return
        sender.reply(
            proposal_messages.ProposalAnswer(message.token, b'', 'not_leader')
        )

    def _answer_survey(
        self, sender: links.Sender, message: messages.Survey
    ) -> None:
        self.spawn(self.surveyor.answer(sender, message))

    def _answer_pool_query(
        self, sender: links.Sender, message: messages.PoolQuery
    ) -> None:
        answer = lending.lend(self.presence.member, message, sender.host)
        sender.reply(answer)

    def _state_changed(self) -> None:
        logs.info('revision_in_force', revision=self.holder.revision)
        self.events.record('revision', revision=self.holder.revision)
        self._update_views()
        self._note_evacuations()

    def _note_evacuations(self) -> None:
        """Log which evacuations have started or ended; clear the queue."""
        current = self.holder.shared.evacuations
        change = self.evacuations.apply(current)
        if change is None or not (change.started or change.ended):
            return
        for kind, names in (
            ('evacuation_started', change.started),
            ('evacuation_ended', change.ended),
        ):
            for name in names:
                logs.info(kind, data_centre=name, revision=current.revision)
                self.events.record(
                    kind, data_centre=name, revision=current.revision
                )
        if change.started:
            self.spawn(self.calls.leave_evacuated())

    def _update_views(self) -> None:
        self.calls.refresh()
        self.directory.update_entries(
            self.members.entry_views(), time.monotonic()
        )
        if self.voter is None:
            entries = [
                record.host for record in self.presence.member.usable_entries()
            ]
            self.spread.set_parents(
                spreading.parents_of_entry(
                    self.cfg.host,
                    self.cfg.data_centre,
                    entries,
                    list(self.voters),
                )
            )

    def _send_gauges(self) -> None:
        gauge = self.metrics.gauge
        gauge('in_flight', self.callers.in_flight)
        gauge('queued', self.gate.admission.queued)
        gauge('revision', self.holder.revision)
        gauge('messages_dropped', self.links.dropped)
        gauge('late_answers', self.attempts.late_messages)
        gauge('evacuated_data_centres', len(self.holder.evacuated))
        gauge(
            'longest_evacuation_s',
            self.holder.shared.evacuations.longest_s(time.time()),
        )
        gauge('upstreams', len(self.presence.member.upstreams()))
        if self.voter is not None:
            gauge('log.term', self.voter.replica.term)
            gauge('log.commit_index', self.voter.replica.commit_index)

    def _member_changed(self, changed: membership.Changed) -> None:
        member = changed.member
        if member.kind is not membership.Kind.AGENT:
            return
        if changed.status is membership.Status.DEAD:
            known_address = self.presence.member.address_of(member.host)
            self.attempts.link_lost(member.address or known_address or '')
            logs.warning('agent_lost', host=member.host)

    def _decisions(self) -> dict[str, mapswitch.GroupDecisions]:
        return {} if self.voter is None else self.voter.machine.groups

    def _request_map(self, group: str, body: bytes, reason: str) -> None:
        self._require_coordination().request_map(group, body, reason)

    def _request_rollback(self, group: str, reason: str) -> None:
        event = mapswitch.RollbackRequested(reason)
        self._require_coordination().request(group, event)

    def _require_coordination(self) -> coordination.Coordination:
        if self.coordination is None:
            raise CassiashiftError(
                ErrorCode.NOT_LEADER, 'this host is not a voter'
            )
        return self.coordination

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
