"""The parts and requests that one entry suspects, blocks or knows as clean."""

from collections.abc import Collection
from collections.abc import Iterable
import enum
import random

import attrs

from cassiashift_core import hashing
from cassiashift_core.poison import evidence
from cassiashift_core.poison import identities
from cassiashift_core.poison import messages

CRASHES_TO_BLOCK = 3
# One request that is sent again and again can't tell which of its parts is
# the cause.
REQUESTS_TO_BLOCK = 2
# Until then, entries that have seen an answer on the part may object.
OBJECTION_S = 0.3
# Objections are delayed by a random time, so that mostly one entry objects.
LONGEST_OBJECTION_DELAY_S = 0.1
FIRST_BLOCK_S = 60.0
LONGEST_BLOCK_S = 3600.0
# Another entry is chosen for the trial after this time, as no request with
# the part may come to the first one.
TRIAL_TURN_S = 10.0
# A request that was present in two crashes may be a sound one that was sent
# again with their cause, so its first block is short.
CRASHES_TO_BLOCK_REQUEST = 2
REQUEST_BLOCKS_S = (3.0, 30.0, 300.0, 1800.0, 3600.0)
# Requests that were blocked for the same crashes are tested at different
# times, so that the trial of one doesn't meet a crash under another.
REQUEST_BLOCK_SPREAD = 1.0
# An unfinished trial of a request is repeated after this time.
REQUEST_TRIAL_TIMEOUT_S = 3.0
# Name of the trial of another entry.
TRIAL_ELSEWHERE = '*'
# An unfinished trial is repeated after this time.
TRIAL_TIMEOUT_S = 30.0
# A block whose trial no request has asked for is dropped.
FORGET_AFTER_S = 600.0
MAX_BLOCKS = 256


class Decision(enum.Enum):
    """What to do with a request; ``TRIAL`` sends it to test a block."""

    SEND = 'send'
    TRIAL = 'trial'
    REFUSE = 'refuse'


@attrs.frozen
class Judgement:
    """A decision on a request, and the part that decided it.

    Attributes:
        retry_after_s: seconds until the block may end; 0 unless refused.
        is_request: the part is the identity of the whole request.
    """

    decision: Decision
    part: str = ''
    level: int = 0
    retry_after_s: float = 0.0
    is_request: bool = False


SEND = Judgement(Decision.SEND)


@attrs.define
class _Block:
    """A blocked part.

    Attributes:
        effective_at: time at which objections are no longer awaited.
        until: time at which its trial is due.
        crashes: crashes that have been counted for it.
        trial: request that is sent to test it; empty if none is.
    """

    level: int
    effective_at: float
    until: float
    crashes: set[evidence.CrashKey] = attrs.field(factory=set)
    trial: str = ''
    trial_at: float = 0.0

    def is_on_trial(self, now: float, timeout_s: float) -> bool:
        """Return whether a trial is under way."""
        return bool(self.trial) and now - self.trial_at < timeout_s


@attrs.define
class PoisonTable:
    """Suspected, blocked and clean parts, as one entry knows them.

    Times are of the entry's monotonic clock, in seconds.

    Attributes:
        host: name of this entry, to choose the entry of a trial.
    """

    host: str
    rng: random.Random
    _clean: evidence.CleanParts = attrs.field(factory=evidence.CleanParts)
    _suspicions: evidence.Suspicions = attrs.field(factory=evidence.Suspicions)
    _suspected_requests: evidence.Suspicions = attrs.field(
        factory=evidence.Suspicions
    )
    _blocks: dict[evidence.PartKey, _Block] = attrs.field(factory=dict)
    _objections: dict[evidence.PartKey, float] = attrs.field(factory=dict)
    # Time of the newest answer on a part that all entries were told of.
    _announced_answers: dict[evidence.PartKey, float] = attrs.field(
        factory=dict
    )
    _digest: int = 0

    @property
    def digest(self) -> int:
        """Return a digest of the blocked parts; 0 if there are none."""
        return self._digest

    @property
    def blocked_count(self) -> int:
        """Return the number of blocked parts and requests."""
        return len(self._blocks)

    @property
    def suspected_count(self) -> int:
        """Return the number of suspected parts."""
        return len(self._suspicions)

    @property
    def suspected_request_count(self) -> int:
        """Return the number of suspected requests."""
        return len(self._suspected_requests)

    def judge(
        self,
        service: str,
        parts: Iterable[str],
        request: str,
        now: float,
        hosts: Collection[str],
        is_repeat: bool = False,
        identity: str = '',
    ) -> Judgement:
        """Return whether a request may be sent at this moment.

        Args:
            request: its id; a trial belongs to one request.
            hosts: the live entries, this one included.
            is_repeat: it was sent before, so that it may be a cause itself;
                it doesn't wait for objections to a block.
            identity: its identity; empty if it has none.
        """
        judgement = SEND
        tried = None
        for key in _keys(service, parts, identity):
            block = self._blocks.get(key)
            if block is None:
                continue
            if now < block.effective_at and not is_repeat:
                continue
            if now < block.until:
                return _refusal(key, block, block.until - now)
            if not self._may_try(key, block, request, now, hosts):
                return _refusal(key, block, _trial_retry_s(key))
            judgement = Judgement(
                Decision.TRIAL,
                key[1],
                block.level,
                is_request=_is_request(key),
            )
            tried = block
        if tried is not None:
            tried.trial, tried.trial_at = request, now
        return judgement

    def find_suspects(
        self, service: str, parts: Iterable[str], now: float
    ) -> tuple[str, ...]:
        """Return the parts that may be the cause of a crash now."""
        return tuple(
            part
            for part in parts
            if self._clean.age_s((service, part), now) is None
        )

    def clear_request(
        self, identity: str, now: float
    ) -> messages.PartsCleared | None:
        """Record an answer to a request; return what the others must learn."""
        key = (identities.ANY_SERVICE, identity)
        if key not in self._suspected_requests and key not in self._blocks:
            return None
        self._clear(key)
        self._clean.record(key, now)
        return messages.PartsCleared(identities.ANY_SERVICE, (identity,))

    def record_answer(
        self, service: str, parts: Iterable[str], now: float
    ) -> messages.PartsCleared | None:
        """Record an answer on parts; return what the others must learn."""
        cleared = []
        for part in parts:
            key = (service, part)
            self._clean.record(key, now)
            if key in self._suspicions or key in self._blocks:
                cleared.append(part)
                self._clear(key)
                self._announced_answers[key] = now
        if not cleared:
            return None
        return messages.PartsCleared(service, tuple(cleared))

    def record_crash(
        self, report: messages.CrashReport, now: float
    ) -> messages.BlockNews | None:
        """Record a crash; return the blocks that it leads to."""
        self._suspicions.drop_expired(now)
        self._suspected_requests.drop_expired(now)
        crash = (report.upstream, report.born_ms)
        renewed = []
        for suspect in report.suspects:
            request = suspect.identity or suspect.request
            for key in _keys(report.service, suspect.parts, suspect.identity):
                if _is_request(key):
                    # An answer says nothing about a later crash.
                    self._clean.drop(key)
                if key in self._blocks:
                    if self._renew(key, crash, now):
                        renewed.append(key)
                elif self._clean.age_s(key, now) is not None:
                    self._plan_objection(key, now)
                else:
                    self._suspicions_of(key).add(key, crash, request, now)
        return self._news([*renewed, *self._block_suspects(now)], now)

    def apply_cleared(
        self, news: messages.PartsCleared, now: float
    ) -> messages.BlockNews | None:
        """Apply another entry's answers on parts.

        Returns:
            blocks of parts that a cleared part had explained until now.
        """
        answered_at = now - news.age_s
        for part in news.parts:
            key = (news.service, part)
            self._clear(key)
            self._clean.record(key, answered_at)
            self._announced_answers[key] = answered_at
        return self._news(self._block_suspects(now), now)

    def apply_blocks(
        self, news: messages.BlockNews, now: float
    ) -> list[messages.BlockRecord]:
        """Adopt blocks of another entry; return those that were new here.

        A part that is known as clean is not adopted but objected to.
        """
        adopted = []
        for record in news.blocks:
            key = (record.service, record.part)
            held = self._blocks.get(key)
            if held is not None and held.level >= record.level:
                continue
            if self._clean.age_s(key, now) is not None:
                self._objections[key] = now
                self._announced_answers.pop(key, None)
            elif record.left_s > -FORGET_AFTER_S:
                self._add_block(key, record.level, now, record.left_s)
                adopted.append(record)
        self._update_digest()
        return adopted

    def apply_trial(self, news: messages.TrialNews, now: float) -> None:
        """Record that another entry tests a blocked request."""
        block = self._blocks.get((news.service, news.part))
        if block is not None and block.level <= news.level:
            block.trial, block.trial_at = TRIAL_ELSEWHERE, now

    def blocks(self, now: float) -> messages.BlockNews | None:
        """Return all blocks, for an entry that has missed some."""
        return self._news(self._blocks, now)

    def due_objections(self, now: float) -> list[messages.PartsCleared]:
        """Return the objections to send by now, by service."""
        due: dict[str, list[str]] = {}
        ages: dict[str, float] = {}
        for key, at in list(self._objections.items()):
            if at > now:
                continue
            del self._objections[key]
            age_s = self._clean.age_s(key, now)
            if age_s is None or self._is_announced(key, now):
                continue
            service, part = key
            self._announced_answers[key] = now - age_s
            due.setdefault(service, []).append(part)
            ages[service] = max(age_s, ages.get(service, 0.0))
        return [
            messages.PartsCleared(service, tuple(parts), ages[service])
            for service, parts in due.items()
        ]

    def forget_expired(self, now: float) -> None:
        """Drop blocks that no request has asked for, and old announcements."""
        forgotten = [
            key
            for key, block in self._blocks.items()
            if now - block.until > FORGET_AFTER_S
        ]
        for key in forgotten:
            del self._blocks[key]
        if forgotten:
            self._update_digest()
        for key, at in list(self._announced_answers.items()):
            if now - at > evidence.CLEAN_S:
                del self._announced_answers[key]

    def _block_suspects(self, now: float) -> list[evidence.PartKey]:
        """Block the parts that were present most often, if often enough.

        Crashes that a block explains count for no other part.
        """
        blocked = []
        while chosen := self._find_most_suspected(now):
            for key in chosen:
                block = self._add_block(key, 0, now, FIRST_BLOCK_S)
                block.effective_at = now + OBJECTION_S
            blocked += chosen
        blocked += self._block_requests(now)
        if blocked:
            self._update_digest()
        return blocked

    def _block_requests(self, now: float) -> list[evidence.PartKey]:
        """Block the requests that were present in enough crashes.

        Those with most crashes come first, as these explain the others.
        """
        blocked = []
        while True:
            explained = self._explained_crashes(by_requests=True)
            counts = {
                key: suspicion.crash_count(now, explained)
                for key, suspicion in self._suspected_requests.items()
            }
            highest = max(counts.values(), default=0)
            if highest < CRASHES_TO_BLOCK_REQUEST:
                return blocked
            for key, count in counts.items():
                if count == highest:
                    self._add_block(key, 0, now, _block_s(key, 0))
                    blocked.append(key)

    def _explained_crashes(self, by_requests: bool) -> set[evidence.CrashKey]:
        """Return the crashes that blocks explain.

        A blocked request explains nothing about parts: one of its own parts
        may be the cause. With two crashes only it may be a sound one.
        """
        return set().union(
            *(
                block.crashes
                for key, block in self._blocks.items()
                if not _is_request(key) or (by_requests and block.level)
            )
        )

    def _find_most_suspected(self, now: float) -> list[evidence.PartKey]:
        explained = self._explained_crashes(by_requests=False)
        counts = {
            key: suspicion.crash_count(now, explained)
            for key, suspicion in self._suspicions.items()
            if suspicion.request_count() >= REQUESTS_TO_BLOCK
        }
        highest = max(counts.values(), default=0)
        if highest < CRASHES_TO_BLOCK:
            return []
        return [key for key, count in counts.items() if count == highest]

    def _renew(
        self, key: evidence.PartKey, crash: evidence.CrashKey, now: float
    ) -> bool:
        """Renew a block whose trial ended in a crash; return whether so."""
        block = self._blocks[key]
        if crash in block.crashes:
            return False
        block.crashes.add(crash)
        if now < block.until:
            return False
        level = block.level + 1
        renewed = self._add_block(key, level, now, _block_s(key, level))
        renewed.crashes = block.crashes if _is_request(key) else {crash}
        self._update_digest()
        return True

    def _add_block(
        self, key: evidence.PartKey, level: int, now: float, left_s: float
    ) -> _Block:
        suspicion = self._suspicions_of(key).drop(key)
        block = _Block(level, effective_at=now, until=now + left_s)
        if suspicion is not None:
            block.crashes = set(suspicion.crashes)
        self._blocks[key] = block
        if len(self._blocks) > MAX_BLOCKS:
            del self._blocks[next(iter(self._blocks))]
        return block

    def _may_try(
        self,
        key: evidence.PartKey,
        block: _Block,
        request: str,
        now: float,
        hosts: Collection[str],
    ) -> bool:
        if _is_request(key):
            # Whichever entry it comes to first tells the others.
            on_trial = block.is_on_trial(now, REQUEST_TRIAL_TIMEOUT_S)
            return not on_trial or block.trial == request
        if block.is_on_trial(now, TRIAL_TIMEOUT_S):
            return block.trial == request
        turn = int((now - block.until) / TRIAL_TURN_S)
        name = f'{key[0]}/{key[1]}/{block.level}/{turn}'
        order = hashing.rendezvous_order(name, {self.host, *hosts})
        return order[0] == self.host

    def _suspicions_of(self, key: evidence.PartKey) -> evidence.Suspicions:
        if _is_request(key):
            return self._suspected_requests
        return self._suspicions

    def _clear(self, key: evidence.PartKey) -> None:
        self._suspicions_of(key).drop(key)
        self._objections.pop(key, None)
        if self._blocks.pop(key, None) is not None:
            self._update_digest()

    def _plan_objection(self, key: evidence.PartKey, now: float) -> None:
        if not self._is_announced(key, now):
            delay_s = self.rng.random() * LONGEST_OBJECTION_DELAY_S
            self._objections.setdefault(key, now + delay_s)

    def _is_announced(self, key: evidence.PartKey, now: float) -> bool:
        """Return whether all entries know of an answer that stays valid."""
        answered_at = self._announced_answers.get(key)
        return answered_at is not None and (
            now - answered_at < evidence.CLEAN_S / 2
        )

    def _news(
        self, keys: Iterable[evidence.PartKey], now: float
    ) -> messages.BlockNews | None:
        records = tuple(
            messages.BlockRecord(
                service,
                part,
                self._blocks[service, part].level,
                self._blocks[service, part].until - now,
            )
            for service, part in keys
        )
        return messages.BlockNews(records) if records else None

    def _update_digest(self) -> None:
        rows = sorted(
            f'{service}/{part}/{block.level}'
            for (service, part), block in self._blocks.items()
        )
        text = '\n'.join(rows)
        self._digest = hashing.stable_digest(text.encode()) if rows else 0


def _keys(
    service: str, parts: Iterable[str], identity: str
) -> list[evidence.PartKey]:
    """Return the keys of a request and of the parts of its prompt."""
    keys = [(service, part) for part in parts]
    if identity:
        keys.append((identities.ANY_SERVICE, identity))
    return keys


def _is_request(key: evidence.PartKey) -> bool:
    return key[0] == identities.ANY_SERVICE


def _block_s(key: evidence.PartKey, level: int) -> float:
    """Return the length of a block that was renewed ``level`` times."""
    if _is_request(key):
        block_s = REQUEST_BLOCKS_S[min(level, len(REQUEST_BLOCKS_S) - 1)]
        spread = hashing.stable_hash(key[1]) / 2**64
        return block_s * (1 + REQUEST_BLOCK_SPREAD * spread)
    return min(FIRST_BLOCK_S * 2**level, LONGEST_BLOCK_S)


def _trial_retry_s(key: evidence.PartKey) -> float:
    """Return when to retry a request that may not be the trial."""
    return REQUEST_TRIAL_TIMEOUT_S if _is_request(key) else TRIAL_TURN_S


def _refusal(
    key: evidence.PartKey, block: _Block, retry_after_s: float
) -> Judgement:
    return Judgement(
        Decision.REFUSE, key[1], block.level, retry_after_s, _is_request(key)
    )
