"""Surveys the state of hosts and upstreams for an operator's command.

A survey runs on request only, so it costs nothing between commands.
"""

import attrs

from cassiashift_core import membership
from cassiashift_daemon import gathering
from cassiashift_daemon import shared_state
from cassiashift_net import links
from cassiashift_net import messages

AGENT_TIMEOUT_S = 0.3
LOCAL_TIMEOUT_S = 0.6
REMOTE_TIMEOUT_S = 1.0


@attrs.define
class SurveyResult:
    """The state of hosts and upstreams by name."""

    hosts: dict[str, messages.HostState] = attrs.field(factory=dict)
    upstreams: dict[str, messages.UpstreamState] = attrs.field(factory=dict)

    def add(self, answer: messages.SurveyAnswer) -> None:
        """Merge an answer.

        Of several reports, the one with the lowest revision of a host is
        kept, and the one with the most calls in progress of an upstream.
        """
        for host in answer.hosts:
            previous = self.hosts.get(host.host)
            if previous is None or host.revision < previous.revision:
                self.hosts[host.host] = host
        for upstream in answer.upstreams:
            previous = self.upstreams.get(upstream.id)
            if previous is None or upstream.in_flight >= previous.in_flight:
                self.upstreams[upstream.id] = upstream

    def answer(self, token: str) -> messages.SurveyAnswer:
        """Return the merged result as the answer to a survey."""
        return messages.SurveyAnswer(
            token, tuple(self.hosts.values()), tuple(self.upstreams.values())
        )


@attrs.define(eq=False)
class Surveyor:
    """Surveys this data centre, and each other one through one entry."""

    host: str
    member: membership.Membership
    holder: shared_state.SharedHolder
    gatherer: gathering.Gatherer

    async def survey(self) -> SurveyResult:
        """Return the merged answers of all data centres."""
        requests = self._entry_requests() | self._agent_requests()
        for summary in self.member.summaries():
            if summary.data_centre != self.member.cfg.data_centre:
                for contact in summary.contacts[:1]:
                    requests[contact.address] = True
        return await self._gather(requests, REMOTE_TIMEOUT_S)

    async def answer(
        self, sender: links.Sender, message: messages.Survey
    ) -> None:
        """Answer a survey, after asking the agents that this entry watches.

        With ``spread`` set, the other entries of the data centre are asked
        too.
        """
        requests = self._agent_requests()
        timeout_s = AGENT_TIMEOUT_S
        if message.spread:
            requests |= self._entry_requests()
            timeout_s = LOCAL_TIMEOUT_S
        findings = await self._gather(requests, timeout_s)
        sender.reply(findings.answer(message.token))

    async def _gather(
        self, requests: dict[str, bool], timeout_s: float
    ) -> SurveyResult:
        answers = await self.gatherer.ask(
            list(requests),
            lambda token, address: messages.Survey(token, requests[address]),
            timeout_s,
        )
        findings = SurveyResult()
        for answer in [self._own_answer(), *answers]:
            findings.add(answer)
        return findings

    def _entry_requests(self) -> dict[str, bool]:
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
