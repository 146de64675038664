"""The table of the upstreams of a region that each entry keeps.

A row holds all that the entry knows of an upstream: its newest announcement,
which all entries share, and its condition.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import math

import attrs

from cassiashift_core.fleet import coldness
from cassiashift_core.fleet import conditions
from cassiashift_core.fleet import limits
from cassiashift_core.fleet import messages
from cassiashift_core.fleet import slowdowns
from cassiashift_core import hashing

_STATE_ORDER = {
    messages.UpstreamState.READY: 0,
    messages.UpstreamState.DRAINING: 1,
    messages.UpstreamState.GONE: 2,
}
# Number of different eases of upstreams that have been cold.
EASE_STEPS = 1024


@attrs.define
class _Row:
    """What is known of an upstream.

    Attributes:
        upstream: its newest announcement.
        received_at: when that was received.
        condition: what else is known of this start of it.
    """

    upstream: messages.Upstream
    received_at: float
    condition: conditions.Condition = attrs.field(factory=conditions.Condition)


@attrs.define
class UpstreamTable:
    """Upstreams by id.

    An announcement is applied only if it is newer than the last one of its
    id: by the start of the upstream, then by the sequence number. Draining is
    final for one start. If two upstreams announce the same address, the later
    start has it and the other is gone.

    Attributes:
        silent_after_s: an upstream without an announcement for this long is
            only used if no other is ready.
        forget_after_s: an upstream without one for this long is dropped.
        evacuated: data centres whose upstreams get no new requests.
        owner: name of the entry. It decides which upstreams that have been
            cold the entry uses sooner than others do.
    """

    silent_after_s: float
    forget_after_s: float
    evacuated: frozenset[str] = frozenset()
    owner: str = ''
    _lease: coldness.Lease = attrs.field(factory=coldness.Lease)
    _cold_terms: Mapping[str, coldness.ColdTerms] = attrs.field(factory=dict)
    _rows: dict[str, _Row] = attrs.field(factory=dict)
    # Rows by the short names of their upstreams in work digests.
    _by_short: dict[int, _Row] = attrs.field(factory=dict)
    # Ids of upstreams whose slowdown may not have expired yet.
    _slow: set[str] = attrs.field(factory=set)
    # Ids of the slow upstreams by the agent and service that reported them.
    _reported: dict[tuple[str, str], set[str]] = attrs.field(factory=dict)
    _digest: int | None = None

    def apply(
        self, upstream: messages.Upstream, now: float
    ) -> messages.Upstream | None:
        """Apply an announcement; return the upstream if it changed, or None.

        A higher sequence number alone is not a change: other entries needn't
        receive it at once.
        """
        row = self._rows.get(upstream.id)
        if row is None:
            return self._add(upstream, now)
        old = row.upstream
        if upstream.age_key <= old.age_key:
            if self._hear_outdated(row, upstream.cold_s, now):
                return attrs.evolve(old, cold_s=upstream.cold_s)
            return self._advance_state(row, upstream)
        is_other_coldness = False
        if upstream.born_ms == old.born_ms:
            upstream = _with_later_state(upstream, old.state)
            is_other_coldness = self._hear(row, upstream.cold_s, now)
        else:
            row.condition = self._new_condition(upstream, now)
            self._by_short.pop(short_id(old), None)
            self._by_short[short_id(upstream)] = row
        row.received_at = now
        row.upstream = attrs.evolve(upstream, cold_s=None)
        if _without_sequence(row.upstream) == _without_sequence(old):
            return upstream if is_other_coldness else None
        self._resolve_address(upstream)
        return upstream

    def apply_all(
        self, upstreams: Iterable[messages.Upstream], now: float
    ) -> list[messages.Upstream]:
        """Apply announcements; return the upstreams that changed."""
        changed = (self.apply(upstream, now) for upstream in upstreams)
        return [upstream for upstream in changed if upstream is not None]

    def apply_sighting(self, sighting: messages.Sighting, now: float) -> None:
        """Apply a sighting: another entry has received an announcement."""
        row = self._rows.get(sighting.id)
        if row is None or row.upstream.born_ms != sighting.born_ms:
            return
        if sighting.sequence > row.upstream.sequence:
            self._hear(row, None, now)
            row.received_at = now
            row.upstream = attrs.evolve(
                row.upstream, sequence=sighting.sequence
            )

    def mark_gone(self, id_: str, born_ms: int) -> messages.Upstream | None:
        """Mark an upstream as gone; return it if this changed it, or None.

        Args:
            born_ms: the start that has ended; 0 for any.
        """
        row = self._rows.get(id_)
        if row is None or (born_ms and born_ms < row.upstream.born_ms):
            return None
        gone = attrs.evolve(row.upstream, state=messages.UpstreamState.GONE)
        return self._advance_state(row, gone)

    def mark_leaving(self, id_: str, born_ms: int) -> messages.Upstream | None:
        """Mark a start of an upstream as draining by its own answer.

        Returns:
            the upstream if this changed it, or None.
        """
        row = self._rows.get(id_)
        if row is None or born_ms != row.upstream.born_ms:
            return None
        leaving = attrs.evolve(
            row.upstream, state=messages.UpstreamState.DRAINING
        )
        return self._advance_state(row, leaving)

    def record_limit(
        self,
        upstream: messages.Upstream,
        per_s: float,
        sent_at: float,
        now: float,
    ) -> messages.LimitRecord | None:
        """Record the limit that an answer of an upstream names.

        Args:
            per_s: requests a second; 0 if the answer names none.
            sent_at: time at which the answer's request was sent.

        Returns:
            the new belief if this changed it, or None.
        """
        condition = self._held_condition(upstream.id, upstream.born_ms)
        if condition is None or not condition.limit.record_answer(
            per_s, sent_at, now
        ):
            return None
        condition.drop_permit()
        self._digest = None
        return _limit_record(upstream, condition.limit.limit)

    def apply_limits(
        self, records: Iterable[messages.LimitRecord], now: float
    ) -> list[messages.LimitRecord]:
        """Apply other entries' beliefs; return those that were newer."""
        changed = []
        for record in records:
            condition = self._held_condition(record.id, record.born_ms)
            limit = limits.Limit(record.per_s, record.revision)
            if condition is not None and condition.limit.apply(limit, now):
                condition.drop_permit()
                changed.append(record)
        if changed:
            self._digest = None
        return changed

    def limits(self) -> tuple[messages.LimitRecord, ...]:
        """Return the beliefs about limits that were ever named."""
        return tuple(
            _limit_record(row.upstream, row.condition.limit.limit)
            for row in self._rows.values()
            if row.condition.limit.limit.revision
        )

    def limited_count(self) -> int:
        """Return the number of upstreams that name a limit."""
        return sum(row.condition.is_limited for row in self._rows.values())

    def set_cold_terms(self, terms: Mapping[str, coldness.ColdTerms]) -> None:
        """Set by service how many requests its cold upstreams take."""
        self._cold_terms = terms
        for row in self._rows.values():
            row.condition.coldness.terms = self._terms_of(row.upstream)

    def set_told_until(self, until: float) -> None:
        """Set how long this entry would be informed of cold upstreams."""
        self._lease.until = until

    def presume_cold(
        self, data_centre: str, now: float
    ) -> list[messages.Upstream]:
        """Take the upstreams of a data centre for cold.

        Each counts as cold until a newer announcement of it says otherwise.

        Returns:
            those that were not yet presumed to be cold.
        """
        return [
            row.upstream
            for row in self._rows.values()
            if row.upstream.data_centre == data_centre
            and row.condition.presume_cold(now)
        ]

    def record_cold_answer(
        self,
        upstream: messages.Upstream,
        cold_s: float,
        sent_at: float,
        now: float,
    ) -> messages.ColdRecord | None:
        """Record the coldness that an answer of an upstream states.

        Args:
            cold_s: seconds for which it stays cold.
            sent_at: time at which the answer's request was sent.

        Returns:
            the new belief if other entries must be informed, or None.
        """
        condition = self._held_condition(upstream.id, upstream.born_ms)
        if condition is None or not condition.coldness.record_answer(
            cold_s, sent_at, now
        ):
            return None
        condition.drop_permit()
        self._digest = None
        return _cold_record(upstream, condition.coldness, now)

    def apply_colds(
        self, records: Iterable[messages.ColdRecord], now: float
    ) -> list[messages.ColdRecord]:
        """Apply other entries' beliefs; return those that were newer."""
        changed = []
        for record in records:
            condition = self._held_condition(record.id, record.born_ms)
            if condition is not None and condition.coldness.apply(
                record.remaining_s, record.revision, now
            ):
                condition.drop_permit()
                changed.append(record)
        if changed:
            self._digest = None
        return changed

    def colds(self, now: float) -> tuple[messages.ColdRecord, ...]:
        """Return the beliefs about coldness that were ever announced."""
        return tuple(
            _cold_record(row.upstream, row.condition.coldness, now)
            for row in self._rows.values()
            if row.condition.coldness.revision
        )

    def cold_count(self, now: float) -> int:
        """Return the number of upstreams that are cold and not gone."""
        return sum(
            row.condition.is_cold(now)
            for row in self._rows.values()
            if row.upstream.state is not messages.UpstreamState.GONE
        )

    def record_slowdowns(
        self, report: messages.RankSlowdowns, now: float
    ) -> tuple[list[messages.SlowRecord], list[str]]:
        """Record the slow ranks of a group.

        Ranks that the same agent has reported before and that are not in
        this report are not slow any more.

        Returns:
            the beliefs that other entries must be informed of, and a
            description of each row that was ignored.
        """
        by_host = self._ids_by_host(report.service)
        factors: dict[str, float] = {}
        ignored = []
        for host, factor in report.rows:
            if host not in by_host or not slowdowns.is_valid(factor):
                ignored.append(f'{host}={factor}')
                continue
            factors.update(dict.fromkeys(by_host[host], factor))
        reporter = report.host, report.service
        ended = self._reported.pop(reporter, set()) - factors.keys()
        if factors:
            self._reported[reporter] = set(factors)
        changed = []
        for id_, factor in [*factors.items(), *((id_, 1.0) for id_ in ended)]:
            row = self._rows.get(id_)
            if row is None:
                continue
            slowdown = row.condition.slowdown
            revision = slowdown.revision
            if slowdown.record_report(factor, now):
                self._slow.add(id_)
                changed.append(_slow_record(row, now))
            if slowdown.revision != revision:
                self._digest = None
        return changed, ignored

    def apply_slows(
        self, records: Iterable[messages.SlowRecord], now: float
    ) -> tuple[list[messages.SlowRecord], list[messages.SlowRecord]]:
        """Apply other entries' beliefs.

        Returns:
            those that changed a speed, and those that renewed a belief that
            was about to expire.
        """
        changed, renewed = [], []
        for record in records:
            condition = self._held_condition(record.id, record.born_ms)
            if condition is None or not slowdowns.is_valid(record.factor):
                continue
            slowdown = condition.slowdown
            before = slowdown.revision, slowdown.factor
            remaining_s = slowdown.remaining_s(now)
            if slowdown.apply(
                record.factor, record.remaining_s, record.revision, now
            ):
                changed.append(record)
            elif (
                remaining_s
                < slowdowns.RENEW_BELOW_S
                <= slowdown.remaining_s(now)
            ):
                renewed.append(record)
            self._slow.add(record.id)
            # A renewal, unlike a change, leaves the digest as it is.
            if before != (slowdown.revision, slowdown.factor):
                self._digest = None
        return changed, renewed

    def slows(self, now: float) -> tuple[messages.SlowRecord, ...]:
        """Return the beliefs about slowdowns that were ever reported."""
        return tuple(
            _slow_record(row, now)
            for row in self._rows.values()
            if row.condition.slowdown.revision
        )

    def slow_factors(self, now: float) -> dict[str, float]:
        """Return the slowdowns of the slow upstreams by id."""
        factors = {}
        for id_ in list(self._slow):
            row = self._rows.get(id_)
            factor = 1.0
            if row is not None:
                factor = row.condition.slowdown.factor_at(now)
            if row is None or factor <= 1.0:
                self._slow.discard(id_)
            else:
                factors[id_] = factor
        return factors

    def slow_count(self, now: float) -> int:
        """Return the number of upstreams that are slow and not gone."""
        return sum(
            row.condition.slowdown.factor_at(now) > 1.0
            for row in self._rows.values()
            if row.upstream.state is not messages.UpstreamState.GONE
        )

    def find(self, id_: str) -> messages.Upstream | None:
        """Return an upstream by its id, or None."""
        row = self._rows.get(id_)
        return None if row is None else row.upstream

    def condition(self, upstream: messages.Upstream) -> conditions.Condition:
        """Return what is known of a start beside its announcement.

        For a start that the table does not hold any more it is empty.
        """
        held = self._held_condition(upstream.id, upstream.born_ms)
        return conditions.Condition() if held is None else held

    def with_conditions(
        self, upstreams: Iterable[messages.Upstream]
    ) -> list[tuple[messages.Upstream, conditions.Condition]]:
        """Return upstreams of this table, each with its condition."""
        return [(upstream, self.condition(upstream)) for upstream in upstreams]

    def condition_of_short(self, short: int) -> conditions.Condition | None:
        """Return the condition of a start by its short name, or None."""
        row = self._by_short.get(short)
        return None if row is None else row.condition

    def in_use(self) -> list[tuple[messages.Upstream, conditions.Condition]]:
        """Return the upstreams at which this entry has requests in flight."""
        return [
            (row.upstream, row.condition)
            for row in self._rows.values()
            if row.condition.in_flight
        ]

    def accepting(self, service: str, now: float) -> list[messages.Upstream]:
        """Return the upstreams of a service that accept new requests.

        Those in evacuated data centres are left out, and silent ones unless
        all of them are silent.
        """
        ready = [
            row
            for row in self._ready_rows(service)
            if row.upstream.data_centre not in self.evacuated
        ]
        recent = [
            row
            for row in ready
            if now - row.received_at <= self.silent_after_s
        ]
        return [row.upstream for row in recent or ready]

    def announced_ages_s(self, service: str, now: float) -> dict[str, float]:
        """Return the ages of a service's announcements by upstream."""
        return {
            row.upstream.id: now - row.received_at
            for row in self._rows.values()
            if row.upstream.service == service
        }

    def is_evacuated(self, service: str) -> bool:
        """Return whether evacuations leave a service without upstreams."""
        if not self.evacuated:
            return False
        data_centres = {
            row.upstream.data_centre for row in self._ready_rows(service)
        }
        return bool(data_centres) and data_centres <= self.evacuated

    def all(self) -> tuple[messages.Upstream, ...]:
        """Return all upstreams, including those that are gone."""
        return tuple(row.upstream for row in self._rows.values())

    def forget_silent(self, now: float) -> list[messages.Upstream]:
        """Drop and return the upstreams silent for ``forget_after_s``.

        Those silent for ``silent_after_s`` are taken for cold.
        """
        for row in self._rows.values():
            if self._is_unheard(row, now):
                row.condition.presume_cold(now)
        dropped = [
            row.upstream
            for row in self._rows.values()
            if now - row.received_at > self.forget_after_s
        ]
        for upstream in dropped:
            del self._rows[upstream.id]
            self._by_short.pop(short_id(upstream), None)
        if dropped:
            self._digest = None
        return dropped

    def digest(self) -> int:
        """Return a digest of the upstreams that aren't gone.

        It covers ids, starts, states, limits, announced coldness and reported
        slowdowns, which all entries must agree on.
        """
        if self._digest is None:
            rows = sorted(
                _digest_line(row)
                for row in self._rows.values()
                if row.upstream.state is not messages.UpstreamState.GONE
            )
            self._digest = hashing.stable_digest('\n'.join(rows).encode())
        return self._digest

    def _ids_by_host(self, service: str) -> dict[str, list[str]]:
        """Return the upstreams of a service that are not gone by host."""
        by_host: dict[str, list[str]] = {}
        for row in self._rows.values():
            upstream = row.upstream
            if (
                upstream.service == service
                and upstream.state is not messages.UpstreamState.GONE
            ):
                host = upstream.address.rpartition(':')[0]
                by_host.setdefault(host, []).append(upstream.id)
        return by_host

    def _ready_rows(self, service: str) -> list[_Row]:
        return [
            row
            for row in self._rows.values()
            if row.upstream.service == service
            and row.upstream.state is messages.UpstreamState.READY
        ]

    def _held_condition(
        self, id_: str, born_ms: int
    ) -> conditions.Condition | None:
        row = self._rows.get(id_)
        if row is None or row.upstream.born_ms != born_ms:
            return None
        return row.condition

    def _add(
        self, upstream: messages.Upstream, now: float
    ) -> messages.Upstream:
        row = self._rows[upstream.id] = _Row(
            attrs.evolve(upstream, cold_s=None),
            now,
            self._new_condition(upstream, now),
        )
        self._by_short[short_id(upstream)] = row
        self._resolve_address(upstream)
        return upstream

    def _new_condition(
        self, upstream: messages.Upstream, now: float
    ) -> conditions.Condition:
        condition = conditions.Condition()
        condition.coldness.terms = self._terms_of(upstream)
        condition.coldness.lease = self._lease
        hashed = hashing.stable_hash(
            self.owner, upstream.id, str(upstream.born_ms)
        )
        condition.coldness.ease = hashed % EASE_STEPS / EASE_STEPS
        condition.coldness.record_start(upstream.cold_s, now)
        return condition

    def _terms_of(self, upstream: messages.Upstream) -> coldness.ColdTerms:
        return self._cold_terms.get(upstream.service, coldness.ColdTerms())

    def _hear(self, row: _Row, cold_s: float | None, now: float) -> bool:
        """Record a newer announcement of a start.

        Returns:
            whether other entries must be informed of its coldness.
        """
        if self._is_unheard(row, now):
            row.condition.presume_cold(now)
        if not row.condition.coldness.record_announcement(cold_s, now):
            return False
        row.condition.drop_permit()
        self._digest = None
        return True

    def _hear_outdated(
        self, row: _Row, cold_s: float | None, now: float
    ) -> bool:
        """Record an announcement that is not newer than the held one.

        After a step of the time of day, a new start may look older than the
        one before it. Its coldness counts, its end does not.

        Returns:
            whether other entries must be informed of its coldness.
        """
        if not cold_s or not row.condition.coldness.record_answer(
            cold_s, -math.inf, now
        ):
            return False
        row.condition.drop_permit()
        self._digest = None
        return True

    def _is_unheard(self, row: _Row, now: float) -> bool:
        heard_at = max(row.received_at, row.condition.coldness.heard_at)
        return now - heard_at > self.silent_after_s

    def _advance_state(
        self, row: _Row, upstream: messages.Upstream
    ) -> messages.Upstream | None:
        """Apply only a later state, from an announcement that isn't newer."""
        old = row.upstream
        if upstream.born_ms != old.born_ms:
            return None
        updated = _with_later_state(old, upstream.state)
        if updated == old:
            return None
        row.upstream = updated
        self._digest = None
        return updated

    def _resolve_address(self, upstream: messages.Upstream) -> None:
        """Mark the older of two upstreams with one address as gone."""
        self._digest = None
        for row in self._rows.values():
            other = row.upstream
            if other.id == upstream.id or other.address != upstream.address:
                continue
            older = min(row, self._rows[upstream.id], key=_start_time)
            older.upstream = attrs.evolve(
                older.upstream, state=messages.UpstreamState.GONE
            )


def short_id(upstream: messages.Upstream) -> int:
    """Return the name of a start of an upstream in work digests."""
    return hashing.short_id(upstream.id, str(upstream.born_ms))


def _start_time(row: _Row) -> int:
    return row.upstream.born_ms


def _digest_line(row: _Row) -> str:
    upstream, limit = row.upstream, row.condition.limit.limit
    line = f'{upstream.id} {upstream.born_ms} {upstream.state.value}'
    line = f'{line} {limit.revision} {limit.per_s:g}'
    cold_revision = row.condition.coldness.revision
    if cold_revision:
        line = f'{line} {cold_revision}'
    slowdown = row.condition.slowdown
    if slowdown.revision:
        line = f'{line} slow {slowdown.revision} {slowdown.factor:g}'
    return line


def _slow_record(row: _Row, now: float) -> messages.SlowRecord:
    slowdown = row.condition.slowdown
    return messages.SlowRecord(
        row.upstream.id,
        row.upstream.born_ms,
        slowdown.factor,
        slowdown.remaining_s(now),
        slowdown.revision,
    )


def _cold_record(
    upstream: messages.Upstream, belief: coldness.Coldness, now: float
) -> messages.ColdRecord:
    return messages.ColdRecord(
        upstream.id, upstream.born_ms, belief.remaining_s(now), belief.revision
    )


def _limit_record(
    upstream: messages.Upstream, limit: limits.Limit
) -> messages.LimitRecord:
    return messages.LimitRecord(
        upstream.id, upstream.born_ms, limit.per_s, limit.revision
    )


def _without_sequence(upstream: messages.Upstream) -> messages.Upstream:
    return attrs.evolve(upstream, sequence=0)


def _with_later_state(
    upstream: messages.Upstream, state: messages.UpstreamState
) -> messages.Upstream:
    if _STATE_ORDER[state] <= _STATE_ORDER[upstream.state]:
        return upstream
    return attrs.evolve(upstream, state=state)
