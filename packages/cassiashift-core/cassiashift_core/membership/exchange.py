"""The exchange of summaries within and between data centres."""

import random

import attrs

from cassiashift_core.membership import events
from cassiashift_core.membership import holders
from cassiashift_core.membership import knowledge
from cassiashift_core.membership import messages
from cassiashift_core.membership import summaries

REMOTE_SHARE = 0.5


@attrs.define
class Exchange:
    """Reports load, renews the own summary and pulls the others."""

    cfg: events.MembershipConfig
    rng: random.Random
    known: knowledge.Knowledge
    watch: holders.Watch
    held: summaries.Summaries
    _next_summary_s: float = 0.0
    _next_pull_s: float = 0.0

    def tick(self, now: float) -> list[events.Effect]:
        """Report, renew and pull when it is time."""
        if now < self._next_pull_s:
            return []
        self._next_pull_s = now + summaries.PULL_INTERVAL_S
        entries = self.known.entries()
        speakers = summaries.reporters(self.cfg.data_centre, entries)
        effects = self._report_load(speakers[0], now)
        if speakers[0] == self.cfg.host and now >= self._next_summary_s:
            self._next_summary_s = now + summaries.SUMMARY_INTERVAL_S
            self.held.renew(
                entries, self.known.agents().values(), self.rng, now
            )
        return effects + self._pull_summaries(speakers)

    def _pull_summaries(self, speakers: list[str]) -> list[events.Effect]:
        sources = self.known.peers()
        speaks = self.cfg.host in speakers
        if speaks and (not sources or self.rng.random() < REMOTE_SHARE):
            sources = self._remote_sources() or sources
        if not sources:
            return []
        source = self.rng.choice(sources)
        return [events.Send(source, self.held.pull())]

    def _report_load(self, reporter: str, now: float) -> list[events.Effect]:
        in_flight = self.watch.in_flight()
        if reporter == self.cfg.host:
            self.held.report_load(reporter, in_flight, now)
            return []
        return [events.Send(reporter, messages.LoadReport(in_flight))]

    def _remote_sources(self) -> list[str]:
        contacts = self.held.remote_contacts()
        hosts = {contact.host for contact in contacts}
        hosts.update(contact.host for contact in self.cfg.remote_seeds)
        return sorted(hosts)
