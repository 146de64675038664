"""Gathers what entries know, for an operator's command.

Nothing of this runs by itself: the cost is that of the commands.
"""

import attrs

from cassiashift_core import membership
from cassiashift_daemon import gathering
from cassiashift_daemon import shared_state
from cassiashift_net import links
from cassiashift_net import messages

AGENT_TIMEOUT_S = 0.3
NEAR_TIMEOUT_S = 0.6
FAR_TIMEOUT_S = 1.0


@attrs.define
class Findings:
    """Hosts and upstreams by name."""

    hosts: dict[str, messages.HostState] = attrs.field(factory=dict)
    upstreams: dict[str, messages.UpstreamState] = attrs.field(factory=dict)

    def add(self, answer: messages.SurveyAnswer) -> None:
        """Take an answer in.

        The lowest revision of a host counts, and the largest number of
        calls in progress of an upstream.
        """
        for host in answer.hosts:
            known = self.hosts.get(host.host)
            if known is None or host.revision < known.revision:
                self.hosts[host.host] = host
        for upstream in answer.upstreams:
            known = self.upstreams.get(upstream.id)
            if known is None or upstream.in_flight >= known.in_flight:
                self.upstreams[upstream.id] = upstream

    def answer(self, token: str) -> messages.SurveyAnswer:
        """Return the findings as an answer."""
        return messages.SurveyAnswer(
            token, tuple(self.hosts.values()), tuple(self.upstreams.values())
        )


@attrs.define(eq=False)
class Surveyor:
    """Asks the entries here, and one entry of each other data centre."""

    host: str
    member: membership.Membership
    holder: shared_state.SharedHolder
    gatherer: gathering.Gatherer

    async def survey(self) -> Findings:
        """Return what the entries of all data centres know."""
        requests = self._near_requests() | self._agent_requests()
        for summary in self.member.summaries():
            if summary.data_centre != self.member.cfg.data_centre:
                for contact in summary.contacts[:1]:
                    requests[contact.address] = True
        return await self._gather(requests, FAR_TIMEOUT_S)

    async def answer(
        self, sender: links.Sender, message: messages.Survey
    ) -> None:
        """Answer a survey, after asking the agents watched here.

        If told to spread it, the other entries of the data centre are
        asked too.
        """
        requests = self._agent_requests()
        timeout_s = AGENT_TIMEOUT_S
        if message.spread:
            requests |= self._near_requests()
            timeout_s = NEAR_TIMEOUT_S
        findings = await self._gather(requests, timeout_s)
        sender.reply(findings.answer(message.token))

    async def _gather(
        self, requests: dict[str, bool], timeout_s: float
    ) -> Findings:
        answers = await self.gatherer.ask(
            list(requests),
            lambda token, address: messages.Survey(token, requests[address]),
            timeout_s,
        )
        findings = Findings()
        for answer in [self._own_answer(), *answers]:
            findings.add(answer)
        return findings

    def _near_requests(self) -> dict[str, bool]:
        return {
            record.address: False
            for record in self.member.usable_entries()
            if record.host != self.host
        }

    def _agent_requests(self) -> dict[str, bool]:
        addresses = map(
            self.member.address_of, self.member.agents_held_first()
        )
        return {address: False for address in addresses if address}

    def _own_answer(self) -> messages.SurveyAnswer:
        data_centre = self.member.cfg.data_centre
        own = messages.HostState(
            self.host, data_centre, 'entry', self.holder.revision
        )
        return messages.SurveyAnswer(
            '', (own,), tuple(self._upstreams(data_centre))
        )

    def _upstreams(self, data_centre: str) -> list[messages.UpstreamState]:
        return [
            messages.UpstreamState(
                id=item.upstream,
                host=record.host,
                data_centre=data_centre,
                healthy=item.healthy,
                draining=item.draining,
            )
            for record in self.member.agents()
            for item in record.upstreams
        ]
