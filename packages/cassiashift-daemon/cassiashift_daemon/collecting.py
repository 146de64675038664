"""Gathers the events of an entry and of the agents that it watches."""

import asyncio
import itertools
from typing import Any

import attrs

from cassiashift_core import membership
from cassiashift_core import timeline
from cassiashift_daemon import recorder
from cassiashift_net import links
from cassiashift_net import messages

COLLECT_TIMEOUT_S = 0.5
MAX_EVENTS = 20_000


@attrs.define
class Gathered:
    """Events of several processes in causal order."""

    events: list[timeline.Event]
    dropped: int


@attrs.define(eq=False)
class _Running:
    """A collection whose answers are still coming."""

    missing: int
    answers: list[messages.EventsAnswer] = attrs.field(factory=list)
    done: asyncio.Event = attrs.field(factory=asyncio.Event)


@attrs.define(eq=False)
class EventCollector:
    """Asks the watched agents for their events, when an operator asks."""

    recorder: recorder.Recorder
    member: membership.Membership
    links: links.Links
    _running: dict[str, _Running] = attrs.field(factory=dict)
    _numbers: Any = attrs.field(factory=itertools.count)

    async def collect(self, request: str) -> Gathered:
        """Return the events of a request, or all."""
        agents = self.member.watched_agents()
        addresses = [self.member.address_of(agent) for agent in agents]
        addresses = [address for address in addresses if address]
        running = _Running(len(addresses))
        if addresses:
            await self._ask(running, addresses, request)
        sources = [self.recorder.events(request)]
        sources += [answer.events for answer in running.answers]
        dropped = self.recorder.dropped()
        dropped += sum(answer.dropped for answer in running.answers)
        return Gathered(timeline.merge(sources)[-MAX_EVENTS:], dropped)

    def received(self, message: messages.EventsAnswer) -> None:
        """Take an agent's answer."""
        running = self._running.get(message.token)
        if running is None:
            return
        running.answers.append(message)
        running.missing -= 1
        if running.missing == 0:
            running.done.set()

    async def _ask(
        self, running: _Running, addresses: list[str], request: str
    ) -> None:
        token = f'events/{next(self._numbers)}'
        self._running[token] = running
        for address in addresses:
            self.links.send(address, messages.EventsQuery(token, request))
        try:
            async with asyncio.timeout(COLLECT_TIMEOUT_S):
                await running.done.wait()
        except TimeoutError:
            pass
        finally:
            del self._running[token]
