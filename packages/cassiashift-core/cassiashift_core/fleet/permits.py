"""Permits to send requests to an upstream that names a limit or is cold.

A limit holds for all entries together, and is often lower than one request a
second and entry. So one entry issues the permits for an upstream, and the
others ask it for one at a time. The issuer reserves the next free moment for
each request (generic cell rate algorithm, ITU-T I.371, annex A); a permit is
valid from that moment for ``PERMIT_VALID_S``.

The issuer is chosen by rendezvous hashing among the entries with a disk, as
all entries hear these often. Entries that are cut apart choose two issuers; an
issuer therefore issues only the part of the limit that the entries with a disk
it hears are of all those it knows.

The bound on arrivals at a cold upstream is on one second and holds through
partitions as well, however long they last and whoever restarts meanwhile.
Permits for a cold upstream are therefore issued without bursts and are valid
for a shorter time, and an issuer's part is counted against the most entries
with a disk that it has ever known (``Issuer.cold_share``).
"""

from collections.abc import Collection
import math

import attrs

from cassiashift_core.fleet import coldness
from cassiashift_core.fleet import messages
from cassiashift_core import hashing

PERMIT_VALID_S = messages.PERMIT_VALID_S
# A lost answer blocks no upstream for longer; a later one is not used.
ANSWER_TIMEOUT_S = 0.3
# Share of a limit that is issued. Permits of two issuers overlap for a while
# when entries come and go.
ISSUED_SHARE = 0.95
# Permits issued at once after a time without requests.
BURST = 2
# Another entry may have issued permits until an issuer's first request.
FIRST_PERMIT_AFTER_S = 1.0
# Until then a new entry may not hear the other ones yet.
QUIET_AFTER_START_S = 2.0
# The same for a cold upstream, whose intervals are short: entries that know
# the other ones by frequent hellos agree on an issuer within a second, and
# what two issue meanwhile must fit into the reserve.
FIRST_COLD_PERMIT_AFTER_S = 0.5
# Part of the rate for cold upstreams that all entries together issue that hear
# no entry with a disk. It is issued beside the whole rate of those with one.
TRICKLE_SHARE = 0.2
# Number of different offsets of upstreams in the order of first permits.
PHASES = 1024
# An entry that may issue no permits refuses them for this long.
NO_SHARE_WAIT_S = 1.0
# An issuer drops what it knows of an upstream without requests for so long.
FORGET_AFTER_S = 60.0


@attrs.define(eq=False)
class HeldPermit:
    """The permit of an entry for one start of an upstream.

    It holds or requests one at a time.

    Attributes:
        number: number of the newest request for a permit.
    """

    number: int = 0
    _requested_at: float = -math.inf
    _is_pending: bool = False
    _valid_from: float = -math.inf
    _valid_s: float = PERMIT_VALID_S
    _denied_until: float = 0.0

    def is_valid(self, now: float) -> bool:
        """Return whether a request may be sent now."""
        return self._valid_from <= now < self._valid_from + self._valid_s

    def spend(self) -> None:
        """Use the permit for a request."""
        self._valid_from = -math.inf

    def may_request(self, now: float) -> bool:
        """Return whether a permit may be requested now."""
        return now >= self._denied_until and not self.is_open(now)

    def is_pending(self, now: float) -> bool:
        """Return whether an answer of the issuer is awaited."""
        return self._is_pending and now < self._requested_at + ANSWER_TIMEOUT_S

    def request(self, now: float) -> int:
        """Record a request for a permit; return its number."""
        self.number += 1
        self._requested_at = now
        self._is_pending = True
        return self.number

    def record_answer(self, answer: messages.Permit, now: float) -> bool:
        """Record the issuer's answer; return whether it came in time."""
        if answer.number != self.number or not self.is_pending(now):
            return False
        self._is_pending = False
        if answer.is_granted:
            self._valid_from = now + answer.after_s
            self._valid_s = min(answer.valid_s, PERMIT_VALID_S)
        else:
            self._denied_until = now + answer.after_s
        return True

    def is_open(self, now: float) -> bool:
        """Return whether one is awaited, held or reserved."""
        return self.is_pending(now) or now < self._valid_from + self._valid_s

    def room_at(self, now: float) -> float:
        """Return the next time known at which a request may be sent."""
        if now < self._valid_from + self._valid_s:
            return max(now, self._valid_from)
        return max(now, self._denied_until)


@attrs.frozen
class ColdShare:
    """What an entry may issue of the rate for a cold upstream.

    Attributes:
        part: part of the rate, 0 to 1.
        phase: part of its interval by which its first permit is later; it
            differs between entries that may be cut off at the same time.
        is_trickle: this entry hears no entry with a disk.
    """

    part: float
    phase: float = 0.0
    is_trickle: bool = False


@attrs.define
class _Bucket:
    """The permits issued for one start of an upstream.

    Attributes:
        next_at: theoretical arrival time of the next request.
    """

    born_ms: int
    next_at: float
    used_at: float


@attrs.define(eq=False)
class Issuer:
    """Issues permits for the upstreams that this entry was chosen for."""

    started_at: float
    _buckets: dict[str, _Bucket] = attrs.field(factory=dict)
    _most_hosts: int = 0
    _most_with_disk: int = 0
    _contact: coldness.Contact = attrs.field(
        default=attrs.Factory(
            lambda self: coldness.Contact(
                self.started_at + QUIET_AFTER_START_S
            ),
            takes_self=True,
        )
    )

    def issue(
        self,
        request: messages.PermitRequest,
        per_s: float,
        share: float,
        now: float,
        cold: ColdShare | None = None,
    ) -> messages.Permit:
        """Return a permit, or the time after which to ask again.

        Args:
            per_s: the upstream's limit, in requests a second; 0 if it has
                none.
            share: part of the limit that this entry may issue, 0 to 1.
            cold: part of the rate for a cold upstream; None for a warm one.
        """
        if cold is not None:
            share = min(share, cold.part)
        elif per_s <= 0:
            # Its coldness ended, or its limit was lifted, since it was chosen
            # for the request: none is needed, and one that was held would be
            # valid if it turned cold again.
            return _denial(request, 0.0)
        if share <= 0 or per_s <= 0:
            return _denial(request, NO_SHARE_WAIT_S)
        interval_s = 1 / (per_s * ISSUED_SHARE * share)
        if cold is None:
            tolerance_s = (BURST - 1) * interval_s
            first_s = min(interval_s, FIRST_PERMIT_AFTER_S) + tolerance_s
        else:
            tolerance_s = 0.0
            # Another order for each upstream, so that no entry is the last
            # one for all of them.
            offset = hashing.stable_hash(request.upstream) % PHASES / PHASES
            first_s = FIRST_COLD_PERMIT_AFTER_S
            if cold.is_trickle:
                first_s += (cold.phase + offset) % 1 * interval_s
        bucket = self._bucket(request, first_s, now)
        # A limit that was raised leaves no reservations far ahead.
        horizon = now + messages.LONGEST_PATIENCE_S + tolerance_s + interval_s
        bucket.next_at = min(bucket.next_at, horizon)
        wait_s = max(
            0.0,
            bucket.next_at - tolerance_s - now,
            self.started_at + QUIET_AFTER_START_S - now,
        )
        is_granted = wait_s <= request.patience_s
        if is_granted:
            bucket.next_at = max(bucket.next_at, now) + interval_s
        return messages.Permit(
            request.upstream,
            request.born_ms,
            request.number,
            is_granted,
            wait_s,
            PERMIT_VALID_S if cold is None else coldness.PERMIT_VALID_S,
        )

    def cold_share(
        self,
        own: messages.EntryRecord,
        heard: Collection[messages.EntryRecord],
        known: Collection[messages.EntryRecord],
    ) -> ColdShare:
        """Return the part of the rate for cold upstreams to issue.

        The parts of issuers that don't hear each other add up to 1 among
        entries with a disk and to ``TRICKLE_SHARE`` among the others. An
        entry that hears fewer others than this one does may issue permits
        for those that it hears, so it does not count here.

        Args:
            heard: the other entries heard within ``coldness.HEARD_S``. It is
                shorter than the silence after which an issuer is replaced,
                so that the part of one falls before the next one begins.
            known: the other entries that it has heard lately.
        """
        self.count_entries(own, known)
        staying = [item for item in known if not item.is_leaving]
        if not self._most_with_disk:
            # It has not heard of the fleet yet.
            return ColdShare(0.0)
        if own.has_disk:
            count = count_disks(own, heard)
            agreeing = sum(
                item.has_disk and not 0 <= item.disks_heard < count
                for item in heard
            )
            return ColdShare(min(1.0, (agreeing + 1) / self._most_with_disk))
        hosts = sorted({own.host, *(item.host for item in staying)})
        return ColdShare(
            TRICKLE_SHARE / self._most_hosts,
            hosts.index(own.host) / len(hosts),
            is_trickle=True,
        )

    def told_until(
        self,
        own: messages.EntryRecord,
        heard: Collection[messages.EntryRecord],
        now: float,
    ) -> float:
        """Return until when this entry would be informed of cold upstreams.

        Args:
            heard: the other entries heard within ``coldness.HEARD_S``.
        """
        is_told = self._contact.update(
            count_disks(own, heard), self._most_with_disk, now
        )
        return now + coldness.LOST_AFTER_S if is_told else now

    def count_entries(
        self,
        own: messages.EntryRecord,
        known: Collection[messages.EntryRecord],
    ) -> None:
        """Record how many entries there are.

        An entry that is cut off forgets the others after a while. Its part
        must not grow then, so the most that it has ever known count.
        """
        staying = [own, *(item for item in known if not item.is_leaving)]
        with_disk = sum(item.has_disk for item in staying)
        founded = max(len(item.founded) for item in (own, *known))
        self._most_hosts = max(self._most_hosts, len(staying))
        self._most_with_disk = max(self._most_with_disk, with_disk, founded)

    def forget_unused(self, now: float) -> None:
        """Drop what no entry has asked for lately."""
        for id_, bucket in list(self._buckets.items()):
            if now - bucket.used_at > FORGET_AFTER_S:
                del self._buckets[id_]

    def _bucket(
        self,
        request: messages.PermitRequest,
        first_s: float,
        now: float,
    ) -> _Bucket:
        bucket = self._buckets.get(request.upstream)
        if bucket is None or bucket.born_ms < request.born_ms:
            bucket = _Bucket(request.born_ms, now + first_s, now)
            self._buckets[request.upstream] = bucket
        bucket.used_at = now
        return bucket


def count_disks(
    own: messages.EntryRecord, heard: Collection[messages.EntryRecord]
) -> int:
    """Return the entries with a disk among this one and those it hears."""
    return sum(item.has_disk and not item.is_leaving for item in (own, *heard))


def _denial(
    request: messages.PermitRequest, after_s: float
) -> messages.Permit:
    return messages.Permit(
        request.upstream, request.born_ms, request.number, False, after_s
    )


def rate_to_issue(
    limit_per_s: float,
    own_per_s: float,
    is_cold: bool,
    request: messages.PermitRequest,
) -> float:
    """Return the rate at which to issue permits, in requests a second.

    The issuer's own belief about a limit counts. Of two beliefs about a cold
    upstream, the lower rate counts, as either may be newer.

    Args:
        limit_per_s: the limit that the issuer knows; 0 for none.
        own_per_s: the lower of that and the rate of a cold upstream; 0 if
            the issuer knows of neither.
        is_cold: the issuer or the entry that asks takes it for cold.
    """
    if not is_cold:
        return limit_per_s or request.per_s
    stated = [per_s for per_s in (own_per_s, request.per_s) if per_s > 0]
    return min(stated, default=0.0)


def choose_issuer(
    upstream: str,
    born_ms: int,
    own: messages.EntryRecord,
    live: Collection[messages.EntryRecord],
) -> str:
    """Return the host of the entry that issues an upstream's permits.

    Args:
        live: the other entries that this one hears.
    """
    staying = [item for item in (own, *live) if not item.is_leaving]
    with_disk = [item for item in staying if item.has_disk]
    hosts = [item.host for item in with_disk or staying or [own]]
    return hashing.rendezvous_order(f'{upstream}/{born_ms}', hosts)[0]


def issued_share(
    own: messages.EntryRecord,
    live: Collection[messages.EntryRecord],
    known: Collection[messages.EntryRecord],
) -> float:
    """Return the part of a limit that an issuer may issue.

    Args:
        live: the other entries that it hears.
        known: the other entries that it has heard lately.
    """
    staying = [item for item in known if not item.is_leaving]
    with_disk = [item for item in staying if item.has_disk]
    if with_disk and not own.has_disk:
        # One that hears no entry with a disk, while others may.
        return 1 / (len(staying) + 1)
    peers = {item.host for item in with_disk or staying}
    heard = sum(item.host in peers for item in live)
    return (heard + 1) / (len(peers) + 1)
