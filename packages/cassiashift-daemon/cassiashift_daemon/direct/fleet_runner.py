"""Keeps the tables of entries and upstreams in step over the fleet.

Every entry says hello often to those of its own data centre, whose callers it
sends there. To other data centres, voters and one relay of each data centre
say hello once in ``hello_interval_s``, the others seldom (see
``fleet.gossip``). News of upstreams goes out at once; a digest in each hello
shows what was lost, and the tables are then asked for.
"""

from collections.abc import Callable
from collections.abc import Collection
import time
from typing import Any

import attrs

from cassiashift_core import fleet
from cassiashift_daemon.direct import config
from cassiashift_daemon.direct import tables
from cassiashift_daemon import logs
from cassiashift_net import links

TICK_S = 0.2
# Longest time between two hellos; less where changes must be known sooner.
LONGEST_HELLO_INTERVAL_S = 1.0
# A change that missed its push is pulled after the next hello; two hellos and
# the pull fit into the time within which it must be known.
HELLO_SHARE = 0.4
NEAR_HELLO_INTERVAL_S = 0.4
# What entries without a disk tell other data centres is of use only when all
# entries that speak for them are lost. Three such hellos may be missed.
SELDOM_HELLO_INTERVAL_S = 6.0
# A new entry speaks often until all others have heard of it: ten hellos.
INTRODUCTION_S = 10.0
# Two hellos may be lost before a host counts as silent.
SILENT_AFTER_S = 3.2 * LONGEST_HELLO_INTERVAL_S
SELDOM_SILENT_AFTER_S = 3.2 * SELDOM_HELLO_INTERVAL_S
NEAR_SILENT_AFTER_S = 1.3
# An entry that shows an older configuration for this long after a newer one
# came into force here has missed its push.
PUSH_MISSED_S = 0.5
# A pull or push is repeated when it may have been lost.
PULL_INTERVAL_S = 0.5


@attrs.define(eq=False)
class FleetRunner:
    """Connects the tables of the fleet with the links.

    Attributes:
        on_forgotten: called with the id of an upstream that is dropped.
    """

    cfg: config.DirectConfig
    links: links.Links
    entries: fleet.EntryTable
    upstreams: fleet.UpstreamTable
    holder: tables.TableHolder
    started_ns: int
    on_forgotten: Callable[[str], None] = lambda id_: None
    is_ready: bool = False
    is_leaving: bool = False
    requests_per_s: float = 0.0
    store: str = ''
    founded: tuple[str, ...] = ()
    started_at: float = attrs.field(factory=time.monotonic)
    _near_sightings: dict[str, fleet.Sighting] = attrs.field(factory=dict)
    _far_sightings: dict[str, fleet.Sighting] = attrs.field(factory=dict)
    _said_at: float = 0.0
    _hello_due: float = 0.0
    _near_hello_due: float = 0.0
    _sent_at: dict[tuple[str, type], float] = attrs.field(factory=dict)
    _silent: set[str] = attrs.field(factory=set)

    @property
    def hello_interval_s(self) -> float:
        """Return the time between two hellos to every entry."""
        bounds = self.cfg.bounds
        soonest_s = min(bounds.apply_s, bounds.drain_s)
        return min(LONGEST_HELLO_INTERVAL_S, HELLO_SHARE * soonest_s)

    def record(self) -> fleet.EntryRecord:
        """Return what this entry says of itself."""
        return fleet.EntryRecord(
            host=self.cfg.host,
            front=self.cfg.listeners.front,
            data_centre=self.cfg.data_centre,
            region=self.cfg.region,
            started_ns=self.started_ns,
            is_ready=self.is_ready,
            is_leaving=self.is_leaving,
            has_disk=bool(self.cfg.data_dir),
            store=self.store,
            founded=self.founded,
            document_version=self.holder.version,
            requests_per_s=self.requests_per_s,
        )

    def records(self) -> list[fleet.EntryRecord]:
        """Return the records of the other entries that are alive."""
        now = time.monotonic()
        return [
            node.record
            for node in self.entries.alive(now, SELDOM_SILENT_AFTER_S)
            if now - node.heard_at <= SILENT_AFTER_S
            or self._speaks_seldom(node.record)
        ]

    def responsive(self) -> list[fleet.EntryRecord]:
        """Return the records of the entries that callers may be sent to.

        Those of the own data centre are watched more closely.
        """
        now = time.monotonic()
        return [
            record
            for record in self.records()
            if not self._is_near(record)
            or now - self.entries.by_host[record.host].heard_at
            <= NEAR_SILENT_AFTER_S
        ]

    def voter_hosts(self) -> list[str]:
        """Return the entries that may vote, those alive first."""
        known = [record.host for record in self.records() if record.store]
        if self.store:
            known.append(self.cfg.host)
        return known or list(self.cfg.seeds)

    def tick(self) -> None:
        """Say hello when it is due, and drop what is long silent."""
        now = time.monotonic()
        if now < self._hello_due:
            if now >= self._near_hello_due:
                self._say_hello_nearby(now)
            return
        self._hello_due = now + self.hello_interval_s
        self.entries.forget_silent(now)
        for upstream in self.upstreams.forget_silent(now):
            self.on_forgotten(upstream.id)
            logs.info('upstream_forgotten', upstream=upstream.id)
        self._note_silent()
        if now - self._said_at >= self._far_interval_s(now):
            self.say_hello()
        else:
            self._say_hello_nearby(now)

    def say_hello(self) -> None:
        """Tell every known entry about this one."""
        now = time.monotonic()
        self._said_at = now
        near = self._say_hello_nearby(now)
        hello = self._hello(tuple(self._far_sightings.values()))
        self._far_sightings.clear()
        self._broadcast(hello, near)

    def _say_hello_nearby(self, now: float) -> set[str]:
        """Tell the entries of the data centre; return their hosts."""
        self._near_hello_due = now + NEAR_HELLO_INTERVAL_S
        hello = self._hello(tuple(self._near_sightings.values()))
        self._near_sightings.clear()
        near = {
            node.record.host
            for node in self.entries.by_host.values()
            if self._is_near(node.record)
        }
        for host in near:
            self._send(host, hello)
        return near

    def _far_interval_s(self, now: float) -> float:
        """Return the time between two hellos to other data centres."""
        is_new = now - self.started_at < INTRODUCTION_S
        if is_new or fleet.sends_frequent_hellos(
            self.record(), self._neighbours(now)
        ):
            return self.hello_interval_s
        return SELDOM_HELLO_INTERVAL_S

    def _neighbours(self, now: float) -> list[fleet.EntryRecord]:
        """Return the entries of the data centre that were heard just now."""
        return [
            node.record
            for node in self.entries.alive(now, NEAR_SILENT_AFTER_S)
            if self._is_near(node.record)
        ]

    def _is_near(self, record: fleet.EntryRecord) -> bool:
        return record.data_centre == self.cfg.data_centre

    def _speaks_seldom(self, record: fleet.EntryRecord) -> bool:
        return not record.has_disk and not self._is_near(record)

    def _hello(self, sightings: tuple[fleet.Sighting, ...]) -> fleet.Hello:
        return fleet.Hello(
            self.record(),
            sightings,
            self.entries.digest(),
            self.upstreams.digest(),
        )

    def announced(self, upstream: fleet.Upstream) -> None:
        """Take an announcement that an upstream made at this entry."""
        news = self.upstreams.apply(upstream, time.monotonic())
        sighting = fleet.Sighting(
            upstream.id, upstream.born_ms, upstream.sequence
        )
        self._near_sightings[upstream.id] = sighting
        self._far_sightings[upstream.id] = sighting
        self._spread(news)

    def left(self, id_: str, born_ms: int) -> None:
        """Take an upstream's word that it is gone."""
        self._spread(self.upstreams.mark_gone(id_, born_ms))

    def push_document(self, document: fleet.Document) -> None:
        """Send a configuration to the entries of this data centre.

        Entries of a data centre without a voter are sent it as well.
        """
        push = fleet.DocumentPush(document.version, document.body)
        records = self.records()
        served = {record.data_centre for record in records if record.store}
        served.discard(self.cfg.data_centre)
        for record in records:
            if not record.store and record.data_centre not in served:
                self._send(record.host, push)

    # Messages.

    def hello(self, sender: links.Sender, message: fleet.Hello) -> None:
        """Take a hello."""
        now = time.monotonic()
        node = message.node
        if node.host == self.cfg.host:
            return
        known = self.entries.by_host.get(node.host)
        if self.entries.update(node, now):
            self._note_node(known, node)
        for sighting in message.sightings:
            self.upstreams.apply_sighting(sighting, now)
        if self._is_near(node) and message.sightings:
            self._pass_on(message.sightings)
        if not self._agrees(message):
            self._send_rarely(node.host, fleet.TablePull(self.cfg.host))
        if node.document_version > self.holder.version:
            self._send_rarely(
                node.host,
                fleet.DocumentPull(self.cfg.host, self.holder.version),
            )
        elif node.document_version < self.holder.version:
            self._push_missed(node.host, now)

    def news(self, sender: links.Sender, message: fleet.UpstreamNews) -> None:
        """Take news of upstreams."""
        for upstream in self.upstreams.apply_all(
            message.upstreams, time.monotonic()
        ):
            self._note_upstream(upstream, sender.host)

    def table_pull(
        self, sender: links.Sender, message: fleet.TablePull
    ) -> None:
        """Answer with the tables."""
        self._send(
            message.host,
            fleet.TableDump(tuple(self.entries.hosts()), self.upstreams.all()),
        )

    def table_dump(
        self, sender: links.Sender, message: fleet.TableDump
    ) -> None:
        """Take another entry's tables."""
        now = time.monotonic()
        self.entries.add_hosts(message.hosts, now)
        for upstream in self.upstreams.apply_all(message.upstreams, now):
            self._note_upstream(upstream, sender.host)

    def document_pull(
        self, sender: links.Sender, message: fleet.DocumentPull
    ) -> None:
        """Answer with the configuration if it is newer."""
        held = self.holder.document
        if held.version > message.version:
            push = fleet.DocumentPush(held.version, held.body)
            self._send(message.host, push)

    def document_push(
        self, sender: links.Sender, message: fleet.DocumentPush
    ) -> None:
        """Put a committed configuration in force."""
        self.holder.offer(fleet.Document(message.version, message.body))

    def handlers(self) -> dict[type, Any]:
        """Return the handler of each message of the fleet."""
        return {
            fleet.Hello: self.hello,
            fleet.UpstreamNews: self.news,
            fleet.TablePull: self.table_pull,
            fleet.TableDump: self.table_dump,
            fleet.DocumentPull: self.document_pull,
            fleet.DocumentPush: self.document_push,
        }

    def _pass_on(self, sightings: tuple[fleet.Sighting, ...]) -> None:
        """Keep what a neighbour heard for the other data centres."""
        neighbours = self._neighbours(time.monotonic())
        if fleet.is_relay(self.record(), neighbours):
            self._far_sightings.update((item.id, item) for item in sightings)

    def _push_missed(self, host: str, now: float) -> None:
        """Send the configuration to an entry that may not hear this one."""
        held = self.holder.document
        if now - self.holder.since > PUSH_MISSED_S:
            self._send_rarely(
                host, fleet.DocumentPush(held.version, held.body)
            )

    def _agrees(self, hello: fleet.Hello) -> bool:
        return (hello.nodes_digest, hello.upstreams_digest) == (
            self.entries.digest(),
            self.upstreams.digest(),
        )

    def _spread(self, news: fleet.Upstream | None) -> None:
        if news is not None:
            self._note_upstream(news, 'itself')
            self._broadcast(fleet.UpstreamNews((news,)))

    def _broadcast(self, message: Any, without: Collection[str] = ()) -> None:
        hosts = dict.fromkeys([*self.cfg.seeds, *self.entries.contacts()])
        for host in hosts:
            if host != self.cfg.host and host not in without:
                self._send(host, message)

    def _send(self, host: str, message: Any) -> None:
        self.links.send(self.cfg.link_of(host), message)

    def _send_rarely(self, host: str, message: Any) -> None:
        """Send a message of a kind to a host, but not too often."""
        now = time.monotonic()
        key = (host, type(message))
        if now - self._sent_at.get(key, -PULL_INTERVAL_S) >= PULL_INTERVAL_S:
            self._sent_at[key] = now
            self._send(host, message)

    def _note_node(
        self, known: fleet.KnownEntry | None, node: fleet.EntryRecord
    ) -> None:
        if known is not None:
            old = known.record
            if (old.is_ready, old.is_leaving, old.started_ns) == (
                node.is_ready,
                node.is_leaving,
                node.started_ns,
            ):
                return
        self._silent.discard(node.host)
        logs.info(
            'entry_seen',
            host=node.host,
            data_centre=node.data_centre,
            ready=node.is_ready,
            leaving=node.is_leaving,
            started_ns=node.started_ns,
        )

    def _note_silent(self) -> None:
        alive = {record.host for record in self.records()}
        silent = set(self.entries.by_host) - alive
        for host in silent - self._silent:
            age = time.monotonic() - self.entries.by_host[host].heard_at
            logs.warning('entry_silent', host=host, age_s=age)
        self._silent = silent

    def _note_upstream(self, upstream: fleet.Upstream, source: str) -> None:
        logs.info(
            'upstream_changed',
            upstream=upstream.id,
            service=upstream.service,
            state=upstream.state.value,
            address=upstream.address,
            sequence=upstream.sequence,
            heard_from=source,
        )
