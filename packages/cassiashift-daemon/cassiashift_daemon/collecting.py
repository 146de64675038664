"""Merges the time line of an entry and of the agents that it watches."""

import attrs

from cassiashift_core import membership
from cassiashift_core import timeline
from cassiashift_daemon import gathering
from cassiashift_daemon import recorder
from cassiashift_net import messages

COLLECT_TIMEOUT_S = 0.5
MAX_EVENTS = 20_000


@attrs.define
class CollectedEvents:
    """Events of several processes in causal order.

    Attributes:
        dropped: events that the processes no longer hold.
    """

    events: list[timeline.Event]
    dropped: int


@attrs.define(eq=False)
class EventCollector:
    """Queries the watched agents for their events on demand."""

    recorder: recorder.Recorder
    member: membership.Membership
    gatherer: gathering.Gatherer

    async def collect(self, request: str) -> CollectedEvents:
        """Return the last events of a request, or of all if it is empty.

        Agents that don't answer in time are left out.
        """
        addresses = map(
            self.member.address_of, self.member.agents_held_first()
        )
        answers = await self.gatherer.ask(
            [address for address in addresses if address],
            lambda token, address: messages.EventsQuery(token, request),
            COLLECT_TIMEOUT_S,
        )
        sources = [self.recorder.events(request)]
        sources += [answer.events for answer in answers]
        dropped = self.recorder.dropped()
        dropped += sum(answer.dropped for answer in answers)
        return CollectedEvents(timeline.merge(sources)[-MAX_EVENTS:], dropped)
