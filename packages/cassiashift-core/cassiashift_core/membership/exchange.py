"""The exchange of summaries within and between data centres.

The reporters of a data centre pull from other data centres as well; every
other entry pulls from its peers only. The first reporter collects the load of
its data centre and renews its summary.
"""

import random

import attrs

from cassiashift_core.membership import events
from cassiashift_core.membership import holders
from cassiashift_core.membership import member_list
from cassiashift_core.membership import messages
from cassiashift_core.membership import summaries

# Share of a reporter's pulls that go to other data centres.
REMOTE_PULL_SHARE = 0.5


@attrs.define
class SummaryExchange:
    """Reports load, renews this data centre's summary and pulls the others.

    Attributes:
        members: the members of this entry's data centre.
        monitor: the agents that this entry watches, and their load.
        store: the summaries that this entry holds.
    """

    cfg: events.MembershipConfig
    rng: random.Random
    members: member_list.MemberList
    monitor: holders.HeartbeatMonitor
    store: summaries.Summaries
    _next_summary_s: float = 0.0
    _next_pull_s: float = 0.0

    def tick(self, now: float) -> list[events.Effect]:
        """Report load and pull, every ``PULL_INTERVAL_S``."""
        if now < self._next_pull_s:
            return []
        self._next_pull_s = now + summaries.PULL_INTERVAL_S
        entries = self.members.entries()
        reporters = summaries.reporters(self.cfg.data_centre, entries)
        effects = self._report_load(reporters[0], now)
        if reporters[0] == self.cfg.host and now >= self._next_summary_s:
            self._next_summary_s = now + summaries.SUMMARY_INTERVAL_S
            self.store.renew_own(
                entries, self.members.agents().values(), self.rng, now
            )
        return effects + self._pull_summaries(reporters)

    def _pull_summaries(self, reporters: list[str]) -> list[events.Effect]:
        sources = self.members.peers()
        is_reporter = self.cfg.host in reporters
        if is_reporter and (
            not sources or self.rng.random() < REMOTE_PULL_SHARE
        ):
            sources = self._remote_sources() or sources
        if not sources:
            return []
        source = self.rng.choice(sources)
        return [events.Send(source, self.store.new_pull())]

    def _report_load(self, reporter: str, now: float) -> list[events.Effect]:
        in_flight = self.monitor.in_flight()
        if reporter == self.cfg.host:
            self.store.record_load(reporter, in_flight, now)
            return []
        return [events.Send(reporter, messages.LoadReport(in_flight))]

    def _remote_sources(self) -> list[str]:
        contacts = self.store.remote_contacts()
        hosts = {contact.host for contact in contacts}
        hosts.update(contact.host for contact in self.cfg.remote_seeds)
        return sorted(hosts)
