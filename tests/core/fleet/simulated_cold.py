"""Entries and upstreams that start, return and turn cold in virtual time."""

import attrs

from cassiashift_core import fleet
from tests.core.fleet import simulated_limits
from tests.process import limited_upstreams

# From docs/design/uneven-load.md: coldPerS x coldOverage + coldSlack.
ALLOWED_ARRIVALS = 15 * 1.5 + 5
WINDOW_S = 1.0
COLD_START_S = 3.0
HEARTBEAT_S = 1.0
SILENT_S = 4.0
# The next hello to the own data centre and that of a relay carry sightings.
SIGHTING_S = 1.4
TERMS = fleet.ColdTerms.from_bounds(15.0, COLD_START_S, 1.5, 5.0)
DATA_CENTRES = ('east', 'north', 'west')


@attrs.define(eq=False)
class ColdUpstream(simulated_limits.Upstream):
    """An upstream that is cold for a while.

    Attributes:
        cold_until: time until which it is cold.
        cold_arrivals: times of the requests that arrived while it was cold.
        states_coldness: its heartbeats and answers state its coldness.
    """

    cold_until: float = 0.0
    is_down: bool = False
    cold_arrivals: list = attrs.field(factory=list)
    states_coldness: bool = True

    def remaining_s(self, now):
        """Return the seconds for which it announces to be cold, or None."""
        return (
            max(0.0, self.cold_until - now) if self.states_coldness else None
        )


class ColdFleet(simulated_limits.SimulatedFleet):
    """A deployment with heartbeats, lost messages and cold upstreams.

    Attributes:
        loss: part of the messages between entries that is lost.
    """

    def __init__(self, seed, entries=35, disks=6, upstreams=6, terms=TERMS):
        self.terms = terms
        self.loss = 0.0
        super().__init__(seed, entries, disks, upstreams)
        for number, id_ in enumerate(list(self.upstreams)):
            announced = attrs.evolve(
                self.upstreams[id_].announcement,
                data_centre=DATA_CENTRES[number % 3],
                born_ms=1000,
                sequence=1,
            )
            self.upstreams[id_] = ColdUpstream(announced)
            for entry in self.entries.values():
                entry.table.apply(announced, self.now)
            self.at(self.rng.random(), self._send_heartbeats, id_, 1000)

    def add_entry(self, host, has_disk=False):
        """Start an entry; it knows what stands in the configuration."""
        super().add_entry(host, has_disk)
        number = len(self.entries)
        self.entries[host].chooser.data_centre = DATA_CENTRES[number % 3]
        table = self.entries[host].table
        table.silent_after_s = SILENT_S
        table.set_cold_terms({simulated_limits.SERVICE: self.terms})

    # Faults of upstreams.

    def restart(self, id_, down_s, step_ms=0):
        """End an upstream and start it again.

        Args:
            step_ms: step of the time of day of its host meanwhile.
        """
        self.upstreams[id_].is_down = True
        self.at(self.now + down_s, self._start, id_, step_ms)

    def _start(self, id_, step_ms):
        upstream = self.upstreams[id_]
        born_ms = max(1, int(1000 + 1000 * self.now) + step_ms)
        upstream.announcement = attrs.evolve(
            upstream.announcement, born_ms=born_ms, sequence=0
        )
        upstream.is_down = False
        upstream.cold_until = self.now + COLD_START_S
        self._send_heartbeats(id_, born_ms)

    def turn_cold(self, id_, for_s):
        """Let an upstream become cold again."""
        self.upstreams[id_].cold_until = self.now + for_s

    def end_evacuation(self, data_centre):
        """Let every entry hear that an evacuation has ended."""
        for entry in self.entries.values():
            self._deliver(entry, self._presume_cold, data_centre)

    def _presume_cold(self, entry, data_centre):
        entry.table.presume_cold(data_centre, self.now)

    # What is checked.

    def most_cold_arrivals(self):
        """Return the most arrivals in a second at any cold upstream."""
        return max(
            limited_upstreams.most_in_window(item.cold_arrivals, 0.0, WINDOW_S)
            for item in self.upstreams.values()
        )

    def share_of(self, data_centre, since, until):
        """Return the share of the requests that a data centre got."""
        counts = {True: 0, False: 0}
        for item in self.upstreams.values():
            is_there = item.announcement.data_centre == data_centre
            counts[is_there] += sum(
                since <= at < until for at, _, _ in item.arrivals
            )
        return counts[True] / (counts[True] + counts[False])

    # Messages.

    def _send(self, sender, host, action, *args):
        if not self.loss or self.rng.random() >= self.loss:
            super()._send(sender, host, action, *args)

    def _send_heartbeats(self, id_, born_ms):
        upstream = self.upstreams[id_]
        if upstream.is_down or upstream.announcement.born_ms != born_ms:
            return
        upstream.announcement = attrs.evolve(
            upstream.announcement,
            sequence=upstream.announcement.sequence + 1,
        )
        announced = attrs.evolve(
            upstream.announcement, cold_s=upstream.remaining_s(self.now)
        )
        entry = self.rng.choice(list(self.entries.values()))
        self._deliver(entry, self._on_heartbeat, announced)
        self.at(self.now + HEARTBEAT_S, self._send_heartbeats, id_, born_ms)

    def _on_heartbeat(self, entry, announced):
        changed = entry.table.apply(announced, self.now)
        sighting = fleet.Sighting(
            announced.id, announced.born_ms, announced.sequence
        )
        self.at(
            self.now + SIGHTING_S * self.rng.random(),
            self._deliver,
            entry,
            self._send_to_all,
            self._on_sighting,
            sighting,
        )
        if changed is not None:
            self._send_to_all(entry, self._on_news, (changed,), ())

    def _on_news(self, entry, upstreams, colds):
        entry.table.apply_all(upstreams, self.now)
        entry.table.apply_colds(colds, self.now)
        self._serve(entry)

    def _send_to_all(self, entry, action, *args):
        for host in list(self.entries):
            if host != entry.host:
                self._send(entry, host, action, *args)

    def _on_sighting(self, entry, sighting):
        entry.table.apply_sighting(sighting, self.now)
        entry.table.forget_silent(self.now)

    def _on_pull(self, entry, host):
        super()._on_pull(entry, host)
        self._send(
            entry,
            host,
            self._on_news,
            entry.table.all(),
            entry.table.colds(self.now),
        )

    def _tick(self, entry):
        if entry.is_up and self.now >= entry.frozen_until:
            own = entry.record(self.now)
            known = [item.record for item in entry.known.by_host.values()]
            entry.issuer.count_entries(own, known)
            entry.table.set_told_until(
                entry.issuer.told_until(own, entry.heard(self.now), self.now)
            )
        super()._tick(entry)

    # Requests.

    def _arrive(self, upstream, entry, sent_at):
        if upstream.is_down:
            condition = entry.table.condition(
                entry.table.find(upstream.announcement.id)
            )
            condition.record_end()
            condition.record_failure(self.now, is_down=True)
            return
        if self.now < upstream.cold_until:
            upstream.cold_arrivals.append(self.now)
        super()._arrive(upstream, entry, sent_at)

    def _on_answer(self, entry, upstream, given_at, sent_at):
        held = entry.table.find(upstream.announcement.id)
        condition = entry.table.condition(held)
        condition.record_end()
        condition.record_success(self.now)
        cold_s = upstream.remaining_s(given_at)
        if cold_s is not None:
            changed = entry.table.record_cold_answer(
                held, cold_s, sent_at, self.now
            )
            if changed is not None:
                self._send_to_all(entry, self._on_news, (), (changed,))
        self._serve(entry)
