"""Exchanges the work in flight of this entry with the other busy ones."""

import collections
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import math
import time
from typing import Any

import attrs

from cassiashift_core import admission
from cassiashift_core import fleet
from cassiashift_core import placing
from cassiashift_core import workload
from cassiashift_daemon.direct import fleet_runner
from cassiashift_daemon import logs
from cassiashift_net import links
from cassiashift_net import wire


# Promises that wait for a digest. Under a flood of refusals the oldest are
# dropped; their callers are new requests at other entries.
MAX_UNSENT = 256
# Near the bound, visits are allowed and stopped many times a second.
VISITS_LOG_INTERVAL_S = 1.0


@attrs.define(eq=False)
class WorkloadRunner:
    """Sends work digests while this entry is busy, and applies the others'.

    Only services with an engine are included: the upstreams of others don't
    bound the requests of all entries together.

    Attributes:
        refresh: updates the remaining work of the requests in flight.
        promises: what refused callers were promised, by any entry.
    """

    runner: fleet_runner.FleetRunner
    table: workload.WorkTable
    refresh: Callable[[float], None] = lambda now: None
    promises: admission.PromiseTable = attrs.field(
        factory=admission.PromiseTable
    )
    _unsent: collections.deque[admission.Promise] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_UNSENT)
    )
    _due: float = -math.inf
    _busy_due: float = -math.inf
    _sent_at: float = -math.inf
    _sent_ms: int = 0
    _is_idle: bool = True
    _busy: list[str] = attrs.field(factory=list)
    _busy_rates: dict[str, float] = attrs.field(factory=dict)
    _held_homes: dict[str, tuple] = attrs.field(factory=dict)
    _logged_visits: dict[str, tuple[bool, float]] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Listen to starts of entries."""
        self.runner.on_entry_start = self.on_entry_start

    def tick(self) -> None:
        """Send a digest if one is due; withdraw expired ones."""
        now = time.monotonic()
        for expiry in self.table.expire(now):
            logs.info(
                'work_digest_expired', host=expiry.host, age_s=expiry.age_s
            )
        self.promises.expire(now)
        if now >= self._busy_due:
            self._busy_due = now + fleet_runner.TICK_S
            self._busy_rates = self._rates_of_busy(now)
            self._busy = sorted((*self._busy_rates, self.runner.cfg.host))
        if now < self._due:
            return
        self.refresh(now)
        digest = self._own_digest(now)
        if digest.rows:
            self._send(digest, now)
        elif not self._is_idle:
            self.send_end()

    def send_end(self) -> None:
        """Tell the others that this entry has no work left."""
        if self._is_idle:
            return
        self._is_idle = True
        now = time.monotonic()
        digest = attrs.evolve(self._own_digest(now), rows=b'', interval_ms=0)
        for host in self._recipients(now):
            self.runner.send(host, digest)

    def share_promise(self, promise: admission.Promise) -> None:
        """Send a promise to the other busy entries with the next digest."""
        self._unsent.append(promise)

    def share_fields(
        self, service: str, candidates: Sequence[fleet.Upstream], limit: float
    ) -> dict[str, Any]:
        """Return the fields of a snapshot that state the entry's share."""
        engine = self.runner.holder.engine(service)
        if engine is None:
            return {'ignores_others': True}
        if len(self._busy) <= 1:
            return {}
        now = time.monotonic()
        conditions = [
            condition
            for _, condition in self.runner.upstreams.with_conditions(
                candidates
            )
        ]
        factors = self.runner.upstreams.slow_factors(now)
        ids = [upstream.id for upstream in candidates]
        slow = placing.slow_slots(ids, limit, engine, factors)
        others = sum(item.others_in_flight for item in conditions)
        homes = self._homes(service, ids, limit, slow)
        inputs = {
            'capacity': placing.total_slots(len(candidates), limit, slow),
            'own': sum(item.in_flight for item in conditions),
            'others': others,
            'peers': self.table.busy_peers(self._busy_rates, now),
        }
        may_visit = workload.may_visit(**inputs)
        self._log_visits(service, may_visit, homes, inputs, now)
        return {
            'homes': homes,
            'ignores_others': not workload.is_credible(
                limit * len(candidates), others
            ),
            'may_visit': may_visit,
        }

    def busy_count(self) -> int:
        """Return the number of busy entries, this one included."""
        return len(self._busy)

    def silent_count(self) -> int:
        """Return the number of busy entries whose digests have expired."""
        return self.table.silent_count(time.monotonic())

    def handlers(self) -> dict[type, Any]:
        """Return the handlers of the messages on work by message type."""
        return {workload.WorkDigest: self.on_digest}

    def on_digest(
        self, sender: links.Sender, message: workload.WorkDigest
    ) -> None:
        """Apply the digest of another entry, unless its process has ended."""
        now = time.monotonic()
        known = self.runner.entries.by_host.get(message.host)
        if message.host == self.runner.cfg.host or (
            known is not None and message.started_ns in known.ended_starts
        ):
            return
        try:
            promises = admission.unpack_promises(message.promises, now)
            if self.table.apply(message, now):
                for promise in promises:
                    self.promises.add(promise)
        except ValueError as exc:
            logs.warning(
                'work_digest_ignored', host=message.host, reason=str(exc)
            )

    def on_entry_start(self, record: fleet.EntryRecord) -> None:
        """Withdraw the work of an earlier process of an entry.

        The new process gets the work of this one with the next digest.
        """
        self.table.record_start(
            record.host, record.started_ns, time.monotonic()
        )

    def _homes(
        self,
        service: str,
        ids: Sequence[str],
        limit: float,
        slow: Mapping[str, float],
    ) -> list[tuple[placing.Candidate, int]]:
        """Return the home slots, divided again after a change only."""
        key = (self._busy, ids, limit, slow)
        held = self._held_homes.get(service)
        if held is None or held[0] != key:
            homes = workload.home_slots(
                self.runner.cfg.host, self._busy, ids, limit, slow
            )
            held = self._held_homes[service] = key, homes
        upstreams = self.runner.upstreams
        homes = upstreams.with_conditions(map(upstreams.find, held[1]))
        return list(zip(homes, held[1].values(), strict=True))

    def _log_visits(
        self,
        service: str,
        may_visit: bool,
        homes: Sequence[tuple[placing.Candidate, int]],
        inputs: Mapping[str, Any],
        now: float,
    ) -> None:
        """Log whether the entry may use more than its home slots, if new."""
        was_allowed, logged_at = self._logged_visits.get(
            service, (True, -math.inf)
        )
        if may_visit == was_allowed or now - logged_at < VISITS_LOG_INTERVAL_S:
            return
        self._logged_visits[service] = may_visit, now
        logs.info(
            'visits_allowed' if may_visit else 'visits_stopped',
            service=service,
            home_slots=sum(count for _, count in homes),
            **attrs.asdict(inputs['peers']),
            **{key: inputs[key] for key in ('capacity', 'own', 'others')},
        )

    def _send(self, digest: workload.WorkDigest, now: float) -> None:
        """Send a digest to the busy entries.

        The first one after a pause goes to all entries: busy ones that don't
        know of this entry yet then send theirs.
        """
        is_first = now - self._sent_at >= workload.RECENTLY_BUSY_S
        busy = self._recipients(now)
        size = sum(map(len, wire.CODEC.encode_frames(digest)))
        room = workload.extra_bytes(len(busy), size)
        digest = attrs.evolve(digest, promises=self._pop_promises(room, now))
        size += len(digest.promises)
        plan = workload.plan(self.runner.cfg.host, busy, size)
        digest = attrs.evolve(digest, interval_ms=round(plan.interval_s * 1e3))
        hosts = set(plan.hosts)
        if is_first:
            hosts |= {record.host for record in self.runner.live_records()}
        for host in hosts:
            self.runner.send(host, digest)
        self._is_idle = False
        self._sent_at = now
        self._due = now + plan.interval_s

    def _pop_promises(self, room: int, now: float) -> bytes:
        """Return the oldest promises that fit, unless they have passed."""
        while self._unsent and self._unsent[0].return_at <= now:
            self._unsent.popleft()
        count = min(room // admission.PROMISE_BYTES, len(self._unsent))
        return admission.pack_promises(
            [self._unsent.popleft() for _ in range(count)], now
        )

    def _rates_of_busy(self, now: float) -> dict[str, float]:
        """Return the rates of the other entries with work at engines."""
        rates = dict.fromkeys(self.table.working(now), 0.0)
        for record in self.runner.live_records():
            if record.engine_requests_per_s > 0:
                rates[record.host] = record.engine_requests_per_s
        return rates

    def _recipients(self, now: float) -> list[str]:
        """Return the entries that need the digest of this one."""
        return sorted(
            {*self._rates_of_busy(now), *self.table.recently_busy(now)}
        )

    def _own_digest(self, now: float) -> workload.WorkDigest:
        rows = [
            workload.WorkRow(
                fleet.short_id(upstream),
                condition.in_flight,
                condition.work_ms,
                condition.tokens,
            )
            for upstream, condition in self.runner.upstreams.in_use()
            if self.runner.holder.engine(upstream.service) is not None
        ]
        # Digests of one millisecond would have no order.
        self._sent_ms = max(int(now * 1000), self._sent_ms + 1)
        return workload.WorkDigest(
            host=self.runner.cfg.host,
            started_ns=self.runner.started_ns,
            sent_ms=self._sent_ms,
            interval_ms=0,
            rows=workload.pack_rows(rows),
        )
