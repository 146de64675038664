"""Bounded summaries through which data centres know each other."""

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
    """Return the entries that pull from other data centres, by rank.

    The first of them also computes the summary of the data centre.
    """
    return hashing.rendezvous_order(data_centre, entries)[:REPORTERS]


def capacities(
    agents: Iterable[records.Record],
) -> tuple[records.Capacity, ...]:
    """Return the capacity of agents' upstreams by model or service and role.

    Draining upstreams are left out; at most ``MAX_CAPACITIES`` are returned.
    """
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
    """The latest summary of each data centre, including this one."""

    region: str
    data_centre: str
    host: str
    _by_data_centre: dict[str, records.Summary] = attrs.field(factory=dict)
    _updated_s: dict[str, float] = attrs.field(factory=dict)
    _loads: dict[str, tuple[int, float]] = attrs.field(factory=dict)

    def all(self) -> tuple[records.Summary, ...]:
        """Return the summaries of all known data centres."""
        return tuple(self._by_data_centre.values())

    def age_s(self, data_centre: str, now: float) -> float | None:
        """Return the seconds since a newer summary came, None without one."""
        updated = self._updated_s.get(data_centre)
        return None if updated is None else now - updated

    def record_load(self, sender: str, in_flight: int, now: float) -> None:
        """Store the requests in progress that an entry reports."""
        self._loads[sender] = (in_flight, now)

    def renew_own(
        self,
        entries: dict[str, records.Record],
        agents: Iterable[records.Record],
        rng: random.Random,
        now: float,
    ) -> None:
        """Recompute the summary of this entry's data centre.

        Loads older than ``LOAD_RETENTION_S`` are left out.
        """
        self._loads = {
            host: load
            for host, load in self._loads.items()
            if now - load[1] < LOAD_RETENTION_S and host in entries
        }
        known = self._by_data_centre.get(self.data_centre)
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

    def new_pull(self) -> messages.SummaryPull:
        """Return a request for summaries newer than those held."""
        return messages.SummaryPull(
            {
                name: known.version
                for name, known in self._by_data_centre.items()
            }
        )

    def on_pull(
        self, pull: messages.SummaryPull, rng: random.Random
    ) -> messages.SummaryPush | None:
        """Return up to ``MAX_SUMMARIES_PER_MESSAGE`` summaries a peer lacks.

        They are chosen at random; None if the peer lacks none.
        """
        newer = [
            summary
            for name, summary in self._by_data_centre.items()
            if summary.version > pull.versions.get(name, 0)
        ]
        if not newer:
            return None
        count = min(MAX_SUMMARIES_PER_MESSAGE, len(newer))
        return messages.SummaryPush(tuple(rng.sample(newer, count)))

    def merge(self, push: messages.SummaryPush, now: float) -> None:
        """Store the summaries that are newer than those held."""
        for summary in push.summaries[:MAX_SUMMARIES_PER_MESSAGE]:
            known = self._by_data_centre.get(summary.data_centre)
            if known is None and len(self._by_data_centre) >= MAX_SUMMARIES:
                continue
            if summary.supersedes(known):
                self._store(summary, now)

    def remote_contacts(self) -> list[records.Contact]:
        """Return the contacts in the summaries of other data centres."""
        return [
            contact
            for name, summary in self._by_data_centre.items()
            if name != self.data_centre
            for contact in summary.contacts
        ]

    def _store(self, summary: records.Summary, now: float) -> None:
        self._by_data_centre[summary.data_centre] = summary
        self._updated_s[summary.data_centre] = now
