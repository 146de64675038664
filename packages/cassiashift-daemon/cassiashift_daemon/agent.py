"""The role ``agent``: stands between entries and a host's upstreams."""

import asyncio
import time
from typing import Any

import aiohttp

from cassiashift_core import retries
from cassiashift_daemon import attempts
from cassiashift_daemon import lifecycle
from cassiashift_daemon import logs
from cassiashift_daemon import metrics
from cassiashift_daemon import puller
from cassiashift_daemon import recorder
from cassiashift_daemon import settings
from cassiashift_daemon import shared_state
from cassiashift_net import links
from cassiashift_net import messages

HEALTH_PATH = '/health'
LEAVING_NOTICE_S = 1.0


class AgentProcess(lifecycle.Process):
    """One agent."""

    def __init__(self, cfg: settings.AgentSettings) -> None:
        """Keep the settings; nothing is opened yet."""
        super().__init__()
        self.cfg = cfg
        self.holder = shared_state.SharedHolder()
        self.metrics = metrics.Metrics.from_config(cfg.statsd, 'agent')
        self.events = recorder.Recorder.from_config(cfg, 'agent')
        self.healthy: dict[str, bool] = {}
        self.leaving = False
        self.link_address = ''

    @classmethod
    def from_config(cls, cfg: settings.AgentSettings) -> 'AgentProcess':
        """Return an agent for checked settings."""
        return cls(cfg)

    @property
    def stop_timeout_s(self) -> float:
        """Return the seconds that a planned stop may take."""
        return self.cfg.stop_timeout_s

    async def open(self) -> None:
        """Open the link, the pool to the upstreams and the timers."""
        cfg = self.cfg
        self.links = links.Links.from_config(cfg.host, self._received)
        self.link_address = self.links.bind(cfg.link)
        self.sessions = attempts.Sessions.from_config(cfg.connect_timeout_s)
        self.attempts = attempts.AttemptServer(
            urls=cfg.upstream_urls(),
            admits=self._refusal,
            sessions=self.sessions,
            record=self.events.record,
            fences=retries.FenceTable(time.time_ns()),
        )
        self.voters = tuple(cfg.voter_addresses().values())
        self.puller = puller.Puller(self.links, self.holder, self.voters)
        self.spawn(self.every(cfg.pull_interval_s, self.puller.pull))
        self.spawn(self.every(cfg.announce_interval_s, self._announce))
        for upstream, url in cfg.upstream_urls().items():
            self.spawn(self._watch(upstream, url))
        logs.info('agent_started', host=cfg.host, link=self.link_address)

    async def drain(self) -> None:
        """Refuse new attempts and wait for those in progress."""
        self.leaving = True
        self._announce()
        await asyncio.sleep(LEAVING_NOTICE_S)
        await self.attempts.idle()
        logs.info('agent_drained', host=self.cfg.host)

    async def close(self) -> None:
        """Close the pool and the links."""
        await self.attempts.close()
        await self.sessions.close()
        self.links.close()

    def _received(self, sender: links.Sender, message: Any) -> None:
        match message:
            case messages.CallStart():
                self.attempts.start(message, sender.reply)
            case messages.CallCredit():
                self.attempts.credit(message)
            case messages.CallCancel():
                self.attempts.cancel(message)
            case messages.Fence():
                self.attempts.fence(message, sender.reply)
            case messages.SharedState():
                self.puller.received(message)

    def _refusal(self, upstream: str) -> str:
        if self.leaving:
            return 'the agent is leaving'
        if upstream in self.holder.shared.drains:
            return 'the upstream is draining'
        return ''

    def _announce(self) -> None:
        upstreams = tuple(
            messages.UpstreamState(
                id=upstream,
                url=url,
                healthy=self.healthy.get(upstream, False),
                draining=bool(self._refusal(upstream)),
                in_flight=self.attempts.in_flight.get(upstream, 0),
            )
            for upstream, url in self.cfg.upstream_urls().items()
        )
        announcement = messages.Announce(
            host=self.cfg.host,
            data_centre=self.cfg.data_centre,
            incarnation=self.attempts.fences.incarnation,
            link=self.link_address,
            revision=self.holder.revision,
            upstreams=upstreams,
        )
        for address in self.voters:
            self.links.send(address, announcement)

    async def _watch(self, upstream: str, url: str) -> None:
        timeout = aiohttp.ClientTimeout(total=self.cfg.connect_timeout_s)
        while True:
            try:
                async with self.sessions.kept.get(
                    url + HEALTH_PATH, timeout=timeout
                ) as resp:
                    healthy = resp.status == 200
            except (aiohttp.ClientError, TimeoutError):
                healthy = False
            if healthy != self.healthy.get(upstream):
                self.healthy[upstream] = healthy
                logs.info('upstream_health', upstream=upstream, ok=healthy)
                self._announce()
            await asyncio.sleep(self.cfg.health_interval_s)
