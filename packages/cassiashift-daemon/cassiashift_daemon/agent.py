"""The role ``agent``: relays calls of entries to a host's upstreams."""

import asyncio

import aiohttp

from cassiashift_core import draining
from cassiashift_core import manifest
from cassiashift_core import membership
from cassiashift_core import retries
from cassiashift_core import spread
from cassiashift_daemon import attempts
from cassiashift_daemon import logs
from cassiashift_daemon import members
from cassiashift_daemon import presence
from cassiashift_daemon import rank_runner
from cassiashift_daemon import role_process
from cassiashift_daemon import settings
from cassiashift_net import links
from cassiashift_net import messages

HEALTH_PATH = '/health'
STATUS_OK = 200
LEAVING_NOTICE_S = 1.0
# Time for the ends of the last answers to be sent.
LINGER_S = 1.0


class AgentProcess(role_process.RoleProcess):
    """The process of an agent.

    Attributes:
        health: result of the health checks, by upstream.
    """

    def __init__(self, cfg: settings.AgentSettings) -> None:
        """Build the parts that need no running event loop."""
        super().__init__(cfg, 'agent', self._needs_item)
        self.holder.on_change = self._announce
        self.attempts: attempts.AttemptServer | None = None
        self.health: dict[str, membership.UpstreamHealth] = {
            upstream: membership.UpstreamHealth()
            for upstream in cfg.upstream_urls()
        }

    @classmethod
    def from_config(cls, cfg: settings.AgentSettings) -> 'AgentProcess':
        """Return an agent; the settings must have been checked."""
        return cls(cfg)

    async def open(self) -> None:
        """Open the links, the HTTP clients and the timers."""
        cfg = self.cfg
        link = self.open_links()
        self.session = attempts.create_session(cfg.connect_timeout_s)
        self.attempts = attempts.AttemptServer(
            urls=cfg.upstream_urls(),
            refusal_reason=self._refusal_reason,
            session=self.session,
            record=self.events.record,
            fences=retries.FenceTable(self.epoch),
            epoch=self.epoch,
        )
        announcer = membership.Announcer.from_config(
            self.membership_config(link), self.rng
        )
        self.presence = presence.PresenceRunner(announcer, self.peers)
        self._open_spread()
        self.ranks = rank_runner.RankRunner(
            cfg=cfg,
            epoch=self.epoch,
            peers=self.peers,
            holder=self.holder,
            session=self.session,
        )
        await self.ranks.open()
        self._register_handlers()
        self._start_timers()
        logs.info('agent_started', host=cfg.host, link=link)

    async def drain(self) -> None:
        """Announce the stop, refuse new attempts, finish those in progress."""
        self.leaving = True
        self._announce()
        await asyncio.sleep(LEAVING_NOTICE_S)
        await self.attempts.wait_idle()
        self.presence.handle(membership.Leaving())
        logs.info('agent_drained', host=self.cfg.host)

    def unfinished(self) -> list[draining.Unfinished]:
        """Return the attempts in progress."""
        return [] if self.attempts is None else self.attempts.unfinished()

    async def close(self) -> None:
        """Cancel the attempts; close the HTTP clients and the links."""
        logs.final_info(
            'stopped', in_flight=sum(self.attempts.in_flight.values())
        )
        await self.ranks.close()
        await self.attempts.close()
        await self.session.close()
        self.links.close(LINGER_S)

    def _open_spread(self) -> None:
        self.open_spread(
            spread.SpreadConfig(
                host=self.cfg.host,
                voters=tuple(self.voters),
                parents=tuple(self.cfg.entry_addresses()),
                max_children=0,
            )
        )
        self.spread.handle(spread.Restarted())

    def _register_handlers(self) -> None:
        register = self.dispatcher.register
        register(
            messages.CallStart,
            lambda sender, message: self.attempts.start(message, sender.reply),
        )
        register(
            messages.CallCredit,
            lambda sender, message: self.attempts.credit(message),
        )
        register(
            messages.CallCancel,
            lambda sender, message: self.attempts.cancel(message),
        )
        register(
            messages.Fence,
            lambda sender, message: self.attempts.fence(message, sender.reply),
        )
        register(messages.RankOrder, self.ranks.received)
        register(messages.EventsQuery, self._answer_events)
        register(messages.Survey, self._answer_survey)
        self.register_shared_handlers()

    def _start_timers(self) -> None:
        self.spawn(
            self.run_periodically(membership.TICK_INTERVAL_S, self._tick)
        )
        self.spawn(
            self.run_periodically(spread.TICK_INTERVAL_S, self.spread.tick)
        )
        self.spawn(
            self.run_periodically(rank_runner.TICK_INTERVAL_S, self.ranks.tick)
        )
        self.spawn(
            self.run_periodically(
                self.cfg.balance_window_s, self.ranks.report_counts
            )
        )
        for upstream, url in self.cfg.upstream_urls().items():
            self.spawn(self._check_health_forever(upstream, url))

    def _tick(self) -> None:
        in_flight = sum(self.attempts.in_flight.values())
        self.presence.handle(membership.LoadChanged(in_flight))
        self.metrics.gauge('in_flight', in_flight)
        self.metrics.gauge('revision', self.holder.revision)
        self.metrics.gauge('late_attempts', self.attempts.fences.refused_count)
        self.presence.tick()
        holders = self.presence.member.holders()
        if holders:
            self.spread.set_parents(tuple(holders))

    def _answer_events(
        self, sender: links.Sender, message: messages.EventsQuery
    ) -> None:
        sender.reply(
            messages.EventsAnswer(
                message.token,
                tuple(self.events.events(message.request)),
                self.events.dropped(),
            )
        )

    def _answer_survey(
        self, sender: links.Sender, message: messages.Survey
    ) -> None:
        own = messages.HostState(
            self.cfg.host,
            self.cfg.data_centre,
            'agent',
            self.holder.revision,
        )
        upstreams = tuple(
            messages.UpstreamState(
                id=upstream,
                host=self.cfg.host,
                data_centre=self.cfg.data_centre,
                healthy=self.health[upstream].is_healthy,
                draining=bool(self._refusal_reason(upstream)),
                in_flight=self.attempts.in_flight.get(upstream, 0),
            )
            for upstream in self.cfg.upstream_urls()
        )
        sender.reply(messages.SurveyAnswer(message.token, (own,), upstreams))

    def _needs_item(self, key: str, data: bytes) -> bool:
        section, _, item = key.partition('/')
        own = self.cfg.upstream_urls()
        if section != 'groups':
            return section == 'upstreams' and item in own
        group = manifest.items.decode_item(key, data)
        return any(rank.upstream in own for rank in group.ranks)

    def _refusal_reason(self, upstream: str) -> str:
        if self.leaving:
            return 'the agent is leaving'
        if upstream in self.holder.drains:
            return 'the upstream is draining'
        if self.cfg.data_centre in self.holder.evacuated:
            return 'the data centre is evacuated'
        return ''

    def _announce(self) -> None:
        announced = tuple(
            members.build_announcement(
                upstream,
                self.holder.view.upstream(upstream),
                self.health[upstream].is_healthy,
                bool(self._refusal_reason(upstream)),
            )
            for upstream in self.cfg.upstream_urls()
        )
        self.presence.handle(membership.UpstreamsChanged(announced))

    async def _check_health_forever(self, upstream: str, url: str) -> None:
        health = self.health[upstream]
        while True:
            result = await self._probe_health(url)
            if health.record(result):
                logs.info(
                    'upstream_health',
                    upstream=upstream,
                    ok=health.is_healthy,
                    probe=result.value,
                )
                self._announce()
            await asyncio.sleep(self.cfg.health_interval_s)

    async def _probe_health(self, url: str) -> membership.ProbeResult:
        timeout = aiohttp.ClientTimeout(total=self.cfg.connect_timeout_s)
        try:
            async with self.session.get(
                url + HEALTH_PATH, timeout=timeout
            ) as resp:
                if resp.status == STATUS_OK:
                    return membership.ProbeResult.OK
        except aiohttp.ClientConnectorError:
            return membership.ProbeResult.FAILED
        except (aiohttp.ClientError, TimeoutError):
            return membership.ProbeResult.UNANSWERED
        return membership.ProbeResult.FAILED
