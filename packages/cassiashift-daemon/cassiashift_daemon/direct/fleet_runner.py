"""Replicates the tables of entries and upstreams across the fleet.

Every entry sends frequent hellos to the entries of its own data centre, where
it directs its callers. To other data centres, voters and one relay of each
data centre send a hello every ``hello_interval_s``, the other entries rarely
(see ``fleet.gossip``). Changes of upstreams are broadcast at once; the digest
in each hello reveals lost messages, and the tables are then pulled.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import secrets
import time
from typing import Any

import attrs

from cassiashift_core import evacuation
from cassiashift_core import fleet
from cassiashift_core import poison
from cassiashift_daemon.direct import config
from cassiashift_daemon.direct import tables
from cassiashift_daemon import logs
from cassiashift_net import links

TICK_S = 0.2
SECRET_BYTES = 16
# Upper limit of the time between two hellos; shorter where the bounds require
# that changes are known sooner.
LONGEST_HELLO_INTERVAL_S = 1.0
# An entry that missed the push of a change pulls it after the next hello; two
# hellos and the pull fit into the time within which it must be known.
HELLO_INTERVAL_SHARE = 0.4
NEAR_HELLO_INTERVAL_S = 0.4
# Other data centres need the hellos of entries without a disk only when the
# voters and relays of that data centre are all lost. Three such hellos may be
# missed.
RARE_HELLO_INTERVAL_S = 6.0
# A new entry sends frequent hellos until all others know it: ten hellos.
FREQUENT_AFTER_START_S = 10.0
# Two hellos may be lost before a host counts as silent.
SILENT_AFTER_S = 3.2 * LONGEST_HELLO_INTERVAL_S
RARE_SILENT_AFTER_S = 3.2 * RARE_HELLO_INTERVAL_S
NEAR_SILENT_AFTER_S = 1.3
# Callers may be sent to a process for contact_s and this after its end; of
# that, a hello may be on its way for MARGIN_S.
NAMED_AFTER_CONTACT_S = 3.0
MARGIN_S = 0.5
# Stated by the first hello, as 0 means that it isn't stated.
SHORTEST_UPTIME_S = 0.001
# An entry whose hellos still state an older configuration this long after a
# newer one came into force here has missed its push.
PUSH_MISSED_S = 0.5
# A pull or push to a host is repeated at this interval, as it may be lost.
PULL_INTERVAL_S = 0.5
# Rows of a report that are named in a log line if they are ignored.
MAX_LOGGED_ROWS = 3


@attrs.define(eq=False)
class FleetRunner:
    """Updates the tables of the fleet from messages and sends changes.

    Attributes:
        store_id: identity of the own data folder; empty until it is open.
        log_voters: hosts of the voter set that this entry knows.
        secret: the oldest secret of an entry that it has heard of.
        blocks_digest: returns the digest of the blocked parts of prompts.
        evacuations: the evacuated data centres in force at this entry.
        on_evacuations: called with a state of evacuations that came with a
            configuration, and its source.
        on_revision: called with a host and the revision of the evacuations
            that its hello names.
        on_entry_start: called with the first record of each process.
    """

    cfg: config.DirectConfig
    links: links.Links
    entries: fleet.EntryTable
    upstreams: fleet.UpstreamTable
    holder: tables.TableHolder
    started_ns: int
    blocks_digest: Callable[[], int] = lambda: 0
    evacuations: evacuation.EvacuationView = attrs.field(
        factory=evacuation.EvacuationView
    )
    on_evacuations: Callable[[evacuation.Evacuations, str], Any] = (
        lambda state, source: None
    )
    on_revision: Callable[[str, int], None] = lambda host, revision: None
    on_entry_start: Callable[[fleet.EntryRecord], None] = lambda record: None
    is_ready: bool = False
    is_leaving: bool = False
    requests_per_s: float = 0.0
    engine_requests_per_s: float = 0.0
    capacity_per_s: float = 0.0
    is_slow: bool = False
    store_id: str = ''
    log_voters: tuple[str, ...] = ()
    started_at: float = attrs.field(factory=time.monotonic)
    secret: fleet.SharedSecret = attrs.field(init=False)
    _near_sightings: dict[str, fleet.Sighting] = attrs.field(factory=dict)
    _far_sightings: dict[str, fleet.Sighting] = attrs.field(factory=dict)
    _far_hellos_at: float = 0.0
    _hello_due: float = 0.0
    _near_hello_due: float = 0.0
    _sent_at: dict[tuple[str, type], float] = attrs.field(factory=dict)
    _silent: set[str] = attrs.field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Draw a secret."""
        self.secret = fleet.SharedSecret(
            self.started_ns, secrets.token_hex(SECRET_BYTES)
        )

    @property
    def hello_interval_s(self) -> float:
        """Return the seconds between two hellos to every entry."""
        bounds = self.cfg.bounds
        soonest_s = min(bounds.apply_s, bounds.drain_s, bounds.evacuation_s)
        return min(LONGEST_HELLO_INTERVAL_S, HELLO_INTERVAL_SHARE * soonest_s)

    def own_record(self) -> fleet.EntryRecord:
        """Return the record of this entry, as its hellos carry it."""
        record = fleet.EntryRecord(
            host=self.cfg.host,
            front=self.cfg.listeners.front,
            data_centre=self.cfg.data_centre,
            region=self.cfg.region,
            started_ns=self.started_ns,
            is_ready=self.is_ready,
            is_leaving=self.is_leaving,
            has_disk=bool(self.cfg.data_dir),
            store=self.store_id,
            founded=self.log_voters,
            document_version=self.holder.version,
            requests_per_s=self.requests_per_s,
            engine_requests_per_s=self.engine_requests_per_s,
            capacity_per_s=self.capacity_per_s,
            is_slow=self.is_slow,
        )
        disks_heard = fleet.count_disks(record, self.heard_records())
        return attrs.evolve(record, disks_heard=disks_heard)

    def heard_records(self) -> list[fleet.EntryRecord]:
        """Return the records of the other entries that were just heard."""
        alive = self.entries.alive(time.monotonic(), fleet.HEARD_S)
        return [known.record for known in alive]

    def live_records(self) -> list[fleet.EntryRecord]:
        """Return the records of the other entries that are not silent."""
        now = time.monotonic()
        return [
            known.record
            for known in self.entries.alive(now, RARE_SILENT_AFTER_S)
            if now - known.received_at <= SILENT_AFTER_S
            or self._sends_rare_hellos(known.record)
        ]

    def known_records(self) -> list[fleet.EntryRecord]:
        """Return the records of the other entries, silent ones too."""
        return [known.record for known in self.entries.by_host.values()]

    def responsive_records(self) -> list[fleet.EntryRecord]:
        """Return the records of the entries that callers may be sent to.

        Entries of the own data centre count as silent sooner; those with rare
        hellos while their end may be longer ago than the bound allows.
        """
        now = time.monotonic()
        bound_s = self.cfg.bounds.contact_s + NAMED_AFTER_CONTACT_S - MARGIN_S
        responsive = []
        for record in self.live_records():
            known = self.entries.by_host[record.host]
            longest_s = (
                NEAR_SILENT_AFTER_S if self._is_near(record) else bound_s
            )
            if known.is_confirmed and now - known.received_at <= longest_s:
                responsive.append(record)
        return responsive

    def is_other_ready(self) -> bool:
        """Return whether another entry is known to take requests."""
        return any(
            record.is_ready and not record.is_leaving
            for record in self.responsive_records()
        )

    def voter_hosts(self) -> list[str]:
        """Return the hosts with an open data folder, or else the seeds."""
        hosts = [record.host for record in self.live_records() if record.store]
        if self.store_id:
            hosts.append(self.cfg.host)
        return hosts or list(self.cfg.seeds)

    def tick(self) -> None:
        """Send due hellos; forget entries and upstreams after long silence."""
        now = time.monotonic()
        if now < self._hello_due:
            if now >= self._near_hello_due:
                self._send_near_hellos(now)
            return
        self._hello_due = now + self.hello_interval_s
        self.entries.forget_silent(now)
        for upstream in self.upstreams.forget_silent(now):
            logs.info('upstream_forgotten', upstream=upstream.id)
        self._log_silent_entries()
        if now - self._far_hellos_at >= self._far_hello_interval_s(now):
            self.send_hellos()
        else:
            self._send_near_hellos(now)

    def send_hellos(self) -> None:
        """Send a hello to every known entry now."""
        now = time.monotonic()
        self._far_hellos_at = now
        near = self._send_near_hellos(now)
        hello = self._hello(tuple(self._far_sightings.values()))
        self._far_sightings.clear()
        self.broadcast(hello, near)

    def _send_near_hellos(self, now: float) -> set[str]:
        """Send hellos in the own data centre; return the hosts there."""
        self._near_hello_due = now + NEAR_HELLO_INTERVAL_S
        hello = self._hello(tuple(self._near_sightings.values()))
        self._near_sightings.clear()
        near = {
            known.record.host
            for known in self.entries.by_host.values()
            if self._is_near(known.record)
        }
        for host in near:
            self.send(host, hello)
        return near

    def _far_hello_interval_s(self, now: float) -> float:
        """Return the seconds between two hellos to other data centres."""
        is_new = now - self.started_at < FREQUENT_AFTER_START_S
        if is_new or fleet.sends_frequent_hellos(
            self.own_record(), self._neighbours(now)
        ):
            return self.hello_interval_s
        return RARE_HELLO_INTERVAL_S

    def _neighbours(self, now: float) -> list[fleet.EntryRecord]:
        """Return the responsive entries of the own data centre."""
        return [
            known.record
            for known in self.entries.alive(now, NEAR_SILENT_AFTER_S)
            if self._is_near(known.record)
        ]

    def _is_near(self, record: fleet.EntryRecord) -> bool:
        return record.data_centre == self.cfg.data_centre

    def _sends_rare_hellos(self, record: fleet.EntryRecord) -> bool:
        return not record.has_disk and not self._is_near(record)

    def _hello(self, sightings: tuple[fleet.Sighting, ...]) -> fleet.Hello:
        return fleet.Hello(
            self.own_record(),
            sightings,
            self.entries.digest(),
            self.upstreams.digest(),
            self.blocks_digest(),
            self.secret,
            self.evacuations.state.revision,
            max(SHORTEST_UPTIME_S, time.monotonic() - self.started_at),
        )

    def record_heartbeat(self, upstream: fleet.Upstream) -> None:
        """Record a heartbeat that an upstream sent to this entry."""
        changed = self.upstreams.apply(upstream, time.monotonic())
        sighting = fleet.Sighting(
            upstream.id, upstream.born_ms, upstream.sequence
        )
        self._near_sightings[upstream.id] = sighting
        self._far_sightings[upstream.id] = sighting
        self._broadcast_change(changed)

    def record_departure(self, id_: str, born_ms: int) -> None:
        """Record that an upstream leaves, and broadcast it."""
        self._broadcast_change(self.upstreams.mark_gone(id_, born_ms))

    def record_leaving(self, upstream: fleet.Upstream) -> None:
        """Record that an answer of an upstream says that it leaves."""
        changed = self.upstreams.mark_leaving(upstream.id, upstream.born_ms)
        self._broadcast_change(changed, 'its answer')

    def record_limit(
        self, upstream: fleet.Upstream, value: str | None, sent_at: float
    ) -> None:
        """Record the limit that an answer names; None if it names none."""
        try:
            per_s = 0.0 if value is None else fleet.parse_limit(value)
        except ValueError as exc:
            logs.warning(
                'limit_ignored', upstream=upstream.id, reason=str(exc)
            )
            return
        changed = self.upstreams.record_limit(
            upstream, per_s, sent_at, time.monotonic()
        )
        if changed is not None:
            self._log_limit(changed, 'its answer')
            self.broadcast(fleet.UpstreamNews((), (changed,)))

    def push_document(self, document: fleet.Document) -> None:
        """Send a configuration to the entries without a data folder."""
        self.push_to_followers(self._document_push(document))

    def push_to_followers(self, push: Any) -> None:
        """Send what the log holds to the entries without a data folder.

        Only those of this data centre, and of data centres without a voter.
        """
        records = self.live_records()
        with_voter = {record.data_centre for record in records if record.store}
        with_voter.discard(self.cfg.data_centre)
        for record in records:
            if not record.store and record.data_centre not in with_voter:
                self.send(record.host, push)

    # Messages.

    def on_hello(self, sender: links.Sender, message: fleet.Hello) -> None:
        """Record a hello; pull tables and pull or push the configuration.

        Only what differs between its sender and this entry is exchanged.
        """
        now = time.monotonic()
        record = message.node
        if record.host == self.cfg.host:
            return
        if not self._receive_record(record, message.uptime_s, now):
            return
        if message.secret is not None:
            self.secret = min(self.secret, message.secret)
        for sighting in message.sightings:
            self.upstreams.apply_sighting(sighting, now)
        if self._is_near(record) and message.sightings:
            self._relay_sightings(message.sightings)
        if not self._has_same_digests(message):
            self.send_throttled(record.host, fleet.TablePull(self.cfg.host))
        if message.blocks_digest not in (0, self.blocks_digest()):
            self.send_throttled(record.host, poison.BlockPull(self.cfg.host))
        self.on_revision(record.host, message.evacuations_revision)
        if record.document_version > self.holder.version:
            self.send_throttled(
                record.host,
                fleet.DocumentPull(self.cfg.host, self.holder.version),
            )
        elif record.document_version < self.holder.version:
            self._push_again(record.host, now)

    def _receive_record(
        self, record: fleet.EntryRecord, uptime_s: float, now: float
    ) -> bool:
        """Store the record of a hello; return whether it came in time."""
        sent_at = self.entries.sent_at(record, uptime_s, now)
        if sent_at is None:
            return False
        previous = self.entries.by_host.get(record.host)
        if self.entries.update(record, sent_at):
            self._record_entry_change(previous, record)
        return True

    def on_upstream_news(
        self, sender: links.Sender, message: fleet.UpstreamNews
    ) -> None:
        """Record changes of upstreams that another entry broadcast."""
        for upstream in self.upstreams.apply_all(
            message.upstreams, time.monotonic()
        ):
            self._log_upstream_change(upstream, sender.host)
        self._apply_limits(message.limits, sender.host)
        self._apply_colds(message.colds, sender.host)
        self._apply_slows(message.slows, sender.host)

    def on_table_pull(
        self, sender: links.Sender, message: fleet.TablePull
    ) -> None:
        """Reply with the tables of entries and upstreams."""
        self.send(
            message.host,
            fleet.TableDump(
                tuple(self.entries.hosts()),
                self.upstreams.all(),
                self.upstreams.limits(),
                self.upstreams.colds(time.monotonic()),
                self.upstreams.slows(time.monotonic()),
            ),
        )

    def on_table_dump(
        self, sender: links.Sender, message: fleet.TableDump
    ) -> None:
        """Merge another entry's tables into the own ones."""
        now = time.monotonic()
        self.entries.add_hosts(message.hosts, now)
        for upstream in self.upstreams.apply_all(message.upstreams, now):
            self._log_upstream_change(upstream, sender.host)
        self._apply_limits(message.limits, sender.host)
        self._apply_colds(message.colds, sender.host)
        self._apply_slows(message.slows, sender.host)

    def on_slowdowns(
        self, sender: links.Sender, message: fleet.RankSlowdowns
    ) -> None:
        """Record the slow ranks of a group; inform the other entries."""
        now = time.monotonic()
        before = self.upstreams.slow_factors(now)
        records, ignored = self.upstreams.record_slowdowns(message, now)
        if ignored:
            logs.warning(
                'slowdowns_ignored',
                host=message.host,
                service=message.service,
                rows=','.join(ignored[:MAX_LOGGED_ROWS]),
                count=len(ignored),
            )
        changed = [
            record
            for record in records
            if record.factor != before.get(record.id, 1.0)
        ]
        for record in changed:
            self._log_slow(record, message.host)
        if changed:
            self.broadcast(fleet.UpstreamNews((), slows=tuple(records)))
        elif records:
            self._renew_slows(records, now, is_first=True)

    def on_document_pull(
        self, sender: links.Sender, message: fleet.DocumentPull
    ) -> None:
        """Reply with the configuration if it is newer than the sender's."""
        document = self.holder.document
        if document.version > message.version:
            self.send(message.host, self._document_push(document))

    def on_document_push(
        self, sender: links.Sender, message: fleet.DocumentPush
    ) -> None:
        """Apply a committed configuration if it is newer.

        The evacuations come into force first.
        """
        self.on_evacuations(message.evacuations, sender.host)
        self.holder.apply_if_newer(
            fleet.Document(message.version, message.body), sender.host
        )

    def handlers(self) -> dict[type, Any]:
        """Return the handlers of the fleet's messages by message type."""
        return {
            fleet.Hello: self.on_hello,
            fleet.UpstreamNews: self.on_upstream_news,
            fleet.TablePull: self.on_table_pull,
            fleet.TableDump: self.on_table_dump,
            fleet.RankSlowdowns: self.on_slowdowns,
            fleet.DocumentPull: self.on_document_pull,
            fleet.DocumentPush: self.on_document_push,
        }

    def _apply_limits(
        self, records: Iterable[fleet.LimitRecord], source: str
    ) -> None:
        for record in self.upstreams.apply_limits(records, time.monotonic()):
            self._log_limit(record, source)

    def _relay_sightings(self, sightings: tuple[fleet.Sighting, ...]) -> None:
        """Queue sightings for other data centres if this is the relay."""
        neighbours = self._neighbours(time.monotonic())
        if fleet.is_relay(self.own_record(), neighbours):
            self._far_sightings.update((item.id, item) for item in sightings)

    def _push_again(self, host: str, now: float) -> None:
        """Push the configuration to an entry that has missed the push.

        If it doesn't receive the hellos of this entry, it never pulls the
        configuration itself.
        """
        document = self.holder.document
        if now - self.holder.since > PUSH_MISSED_S:
            self.send_throttled(host, self._document_push(document))

    def _document_push(self, document: fleet.Document) -> fleet.DocumentPush:
        return fleet.DocumentPush(
            document.version, document.body, self.evacuations.state
        )

    def _has_same_digests(self, hello: fleet.Hello) -> bool:
        return (hello.nodes_digest, hello.upstreams_digest) == (
            self.entries.digest(),
            self.upstreams.digest(),
        )

    def _broadcast_change(
        self, changed: fleet.Upstream | None, source: str = 'itself'
    ) -> None:
        if changed is not None:
            self._log_upstream_change(changed, source)
            self.broadcast(fleet.UpstreamNews((changed,)))

    def broadcast(self, message: Any, excluded: Collection[str] = ()) -> None:
        """Send a message to every known entry but the excluded hosts."""
        hosts = dict.fromkeys([*self.cfg.seeds, *self.entries.contacts()])
        for host in hosts:
            if host != self.cfg.host and host not in excluded:
                self.send(host, message)

    def send(self, host: str, message: Any) -> None:
        """Send a message to an entry."""
        self.links.send(self.cfg.link_of(host), message)

    def send_throttled(self, host: str, message: Any) -> None:
        """Send a message unless one of its type was just sent to the host."""
        now = time.monotonic()
        key = (host, type(message))
        if now - self._sent_at.get(key, -PULL_INTERVAL_S) >= PULL_INTERVAL_S:
            self._sent_at[key] = now
            self.send(host, message)

    def _record_entry_change(
        self, previous: fleet.KnownEntry | None, record: fleet.EntryRecord
    ) -> None:
        """Log a change of an entry's record; announce a new process."""
        if previous is None or previous.record.started_ns != record.started_ns:
            self.on_entry_start(record)
        if previous is not None:
            old = previous.record
            if (old.is_ready, old.is_leaving, old.started_ns) == (
                record.is_ready,
                record.is_leaving,
                record.started_ns,
            ):
                return
        self._silent.discard(record.host)
        logs.info(
            'entry_seen',
            host=record.host,
            data_centre=record.data_centre,
            ready=record.is_ready,
            leaving=record.is_leaving,
            started_ns=record.started_ns,
        )

    def _log_silent_entries(self) -> None:
        alive = {record.host for record in self.live_records()}
        silent = set(self.entries.by_host) - alive
        for host in silent - self._silent:
            age = time.monotonic() - self.entries.by_host[host].received_at
            logs.warning('entry_silent', host=host, age_s=age)
        self._silent = silent

    def _apply_colds(
        self, records: Iterable[fleet.ColdRecord], source: str
    ) -> None:
        for record in self.upstreams.apply_colds(records, time.monotonic()):
            self.log_cold(record, source)

    def _apply_slows(
        self, records: Iterable[fleet.SlowRecord], source: str
    ) -> None:
        now = time.monotonic()
        changed, renewed = self.upstreams.apply_slows(records, now)
        for record in changed:
            self._log_slow(record, source)
        if renewed:
            self._renew_slows(renewed, now, is_first=False)

    def _renew_slows(
        self, records: list[fleet.SlowRecord], now: float, is_first: bool
    ) -> None:
        """Send slowdowns that do not change, before they expire elsewhere."""
        hosts = {*self.cfg.seeds, *self.entries.contacts()}
        hosts.discard(self.cfg.host)
        news = fleet.UpstreamNews((), slows=tuple(records))
        for host in fleet.renewal_targets(
            self.cfg.host, hosts, f'{now:.1f}', is_first
        ):
            self.send(host, news)

    def _log_slow(self, record: fleet.SlowRecord, source: str) -> None:
        logs.info(
            'upstream_slow',
            upstream=record.id,
            slowdown=record.factor,
            for_s=record.remaining_s,
            revision=record.revision,
            heard_from=source,
        )

    def log_cold(self, record: fleet.ColdRecord, source: str) -> None:
        """Log a new belief about the coldness of an upstream."""
        logs.info(
            'upstream_cold',
            upstream=record.id,
            for_s=record.remaining_s,
            revision=record.revision,
            heard_from=source,
        )

    def _log_limit(self, record: fleet.LimitRecord, source: str) -> None:
        logs.info(
            'upstream_limit',
            upstream=record.id,
            per_s=record.per_s,
            revision=record.revision,
            heard_from=source,
        )

    def _log_upstream_change(
        self, upstream: fleet.Upstream, source: str
    ) -> None:
        logs.info(
            'upstream_changed',
            upstream=upstream.id,
            service=upstream.service,
            state=upstream.state.value,
            address=upstream.address,
            sequence=upstream.sequence,
            cold_s=upstream.cold_s,
            heard_from=source,
        )
