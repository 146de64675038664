"""Bounded summaries by which data centres know each other."""

from collections.abc import Iterable
import random

import attrs

from cassiashift_core import hashing
from cassiashift_core.membership import messages
from cassiashift_core.membership import records

SUMMARY_INTERVAL_S = 15.0
PULL_INTERVAL_S = 5.0
LOAD_RETENTION_S = 3 * PULL_INTERVAL_S
REPORTERS = 3
MAX_CONTACTS = 4
MAX_CAPACITIES = 64
MAX_SUMMARIES = 64
MAX_SUMMARIES_PER_MESSAGE = 16


def reporters(data_centre: str, entries: Iterable[str]) -> list[str]:
    """Return the entries that speak for a data centre, the first first."""
    return hashing.rendezvous(data_centre, entries)[:REPORTERS]


def capacities(
    agents: Iterable[records.Record],
) -> tuple[records.Capacity, ...]:
    """Return the capacity of usable upstreams by model and role."""
    counts: dict[tuple[str, str], list[int]] = {}
    for agent in agents:
        for upstream in agent.upstreams:
            if upstream.draining:
                continue
            names = {offer.model for offer in upstream.offers}
            for name in names or {upstream.service}:
                total = counts.setdefault((name, upstream.role), [0, 0])
                total[0] += 1
                total[1] += upstream.concurrency
    rows = [
        records.Capacity(model, role, *total)
        for (model, role), total in sorted(counts.items())
    ]
    return tuple(rows[:MAX_CAPACITIES])


@attrs.define
class Summaries:
    """The summaries that an entry holds, its own data centre's included."""

    region: str
    data_centre: str
    host: str
    _known: dict[str, records.Summary] = attrs.field(factory=dict)
    _renewed_s: dict[str, float] = attrs.field(factory=dict)
    _loads: dict[str, tuple[int, float]] = attrs.field(factory=dict)

    def all(self) -> tuple[records.Summary, ...]:
        """Return all summaries."""
        return tuple(self._known.values())

    def age_s(self, data_centre: str, now: float) -> float | None:
        """Return the seconds since a summary last became newer."""
        renewed = self._renewed_s.get(data_centre)
        return None if renewed is None else now - renewed

    def report_load(self, sender: str, in_flight: int, now: float) -> None:
        """Note the load that an entry reports."""
        self._loads[sender] = (in_flight, now)

    def renew(
        self,
        entries: dict[str, records.Record],
        agents: Iterable[records.Record],
        rng: random.Random,
        now: float,
    ) -> None:
        """Compute the summary of this entry's data centre anew."""
        self._loads = {
            host: load
            for host, load in self._loads.items()
            if now - load[1] < LOAD_RETENTION_S and host in entries
        }
        known = self._known.get(self.data_centre)
        chosen = rng.sample(sorted(entries), min(MAX_CONTACTS, len(entries)))
        summary = records.Summary(
            region=self.region,
            data_centre=self.data_centre,
            version=1 if known is None else known.version + 1,
            reporter=self.host,
            entries=len(entries),
            contacts=tuple(
                records.Contact(host, entries[host].address) for host in chosen
            ),
            capacity=capacities(agents),
            in_flight=sum(load for load, _ in self._loads.values()),
        )
        self._store(summary, now)

    def pull(self) -> messages.SummaryPull:
        """Return a request for what is newer than the known versions."""
        return messages.SummaryPull(
            {name: known.version for name, known in self._known.items()}
        )

    def answer(
        self, pull: messages.SummaryPull, rng: random.Random
    ) -> messages.SummaryPush | None:
        """Return the summaries that a peer lacks, if there are any."""
        newer = [
            summary
            for name, summary in self._known.items()
            if summary.version > pull.versions.get(name, 0)
        ]
        if not newer:
            return None
        count = min(MAX_SUMMARIES_PER_MESSAGE, len(newer))
        return messages.SummaryPush(tuple(rng.sample(newer, count)))

    def merge(self, push: messages.SummaryPush, now: float) -> None:
        """Take in the summaries that are newer."""
        for summary in push.summaries[:MAX_SUMMARIES_PER_MESSAGE]:
            known = self._known.get(summary.data_centre)
            if known is None and len(self._known) >= MAX_SUMMARIES:
                continue
            if summary.supersedes(known):
                self._store(summary, now)

    def remote_contacts(self) -> list[records.Contact]:
        """Return the contacts of the other data centres."""
        return [
            contact
            for name, summary in self._known.items()
            if name != self.data_centre
            for contact in summary.contacts
        ]

    def _store(self, summary: records.Summary, now: float) -> None:
        self._known[summary.data_centre] = summary
        self._renewed_s[summary.data_centre] = now
