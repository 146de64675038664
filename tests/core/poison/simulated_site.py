"""Entries and upstreams in virtual time, with requests that crash upstreams.

Entries choose an upstream at random and send a request twice at most. An
upstream that crashes is back as a new start after some seconds; the others of
its group cut what they were answering, and refuse requests in the meantime.
"""

import heapq
import itertools
import random

import attrs

from cassiashift_core import poison

SERVICE = 'model'
FIRST_PART = 'first'
CRASHING_PART = 'bad'
CRASHING_IDENTITY = 'crashing'
MAX_SENDS = 2
BEGIN_S = (0.02, 0.4)
CRASH_AFTER_S = 0.1
EVENTS_AFTER_S = 0.25
ANSWER_S = 1.2
STALL_S = 1.5
BACK_S = (2.0, 5.0)
DELAY_S = (0.001, 0.01)
TICK_S = 0.05
SYNC_S = 0.5
CONTACT_S = 3.0


@attrs.define(eq=False)
class Send:
    """One send of a request; ``is_over`` once it has ended."""

    request: 'Request'
    entry: 'Entry'
    is_begun: bool = False
    has_events: bool = False
    is_over: bool = False


@attrs.define(eq=False)
class Request:
    """A request, and the outcome at its first entry."""

    id: str
    parts: tuple[str, ...]
    sent_at: float
    is_sound: bool
    identity: str
    sends: int = 0
    outcome: str = ''
    began_at_first_send: bool = False


@attrs.define(eq=False)
class Entry:
    """An entry with its table."""

    name: str
    table: poison.PoisonTable
    started_at: float = 0.0


@attrs.define(eq=False)
class Upstream:
    """An upstream; ``born`` rises with each start."""

    name: str
    group: int
    born: int = 1
    is_up: bool = True
    stalled_until: float = 0.0
    sends: dict = attrs.field(factory=dict)


class SimulatedSite:
    """A seeded deployment, driven by one queue of events.

    Attributes:
        arrivals: times at which crashing requests arrived.
        late_starters: those arrivals that come from an entry that was
            started less than three seconds before.
        crashes: times of crashes on them.
        blocked: parts and requests that were blocked at some time.
    """

    def __init__(
        self, seed, entries=6, groups=2, size=4, lost=0.0, max_sends=MAX_SENDS
    ):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.lost = lost
        self.max_sends = max_sends
        self.entries = [
            Entry(f'e{number}', self._new_table(f'e{number}'))
            for number in range(entries)
        ]
        self.upstreams = [
            Upstream(f'u{group}.{rank}', group)
            for group in range(groups)
            for rank in range(size)
        ]
        self.requests = []
        self.arrivals = []
        self.late_starters = []
        self.crashes = []
        self.blocked = set()
        self._queue = []
        self._order = itertools.count()
        self._numbers = itertools.count()
        self._at(TICK_S, self._tick)
        self._at(SYNC_S, self._synchronise)

    # Load and faults.

    def send_sound(self, per_s, until, subjects=40):
        """Send sound requests; few subjects are popular, most are rare."""

        def send():
            subject = int(subjects * self.rng.random() ** 2)
            self._receive((FIRST_PART, f'subject{subject}'), True)

        self._repeat(per_s, until, send)

    def send_crashing(self, per_s, since, until):
        """Send requests with the crashing part, after a varying subject."""

        def send():
            subject = f'subject{self.rng.randrange(40)}'
            parts = self.rng.choice(
                [
                    (FIRST_PART, CRASHING_PART),
                    (FIRST_PART, subject, CRASHING_PART),
                ]
            )
            self._receive(parts, False)

        self._at(since, lambda: self._repeat(per_s, until, send))

    def send_repeated(self, per_s, until, identities=20):
        """Send sound requests that callers repeat."""

        def send():
            number = self.rng.randrange(identities)
            self._receive((), True, f'sound{number}')

        self._repeat(per_s, until, send)

    def send_crashing_request(self, per_s, since, until, parts=()):
        """Send one request that crashes upstreams, again and again."""

        def send():
            self._receive(parts, False, CRASHING_IDENTITY)

        self._at(since, lambda: self._repeat(per_s, until, send))

    def crash_others(self, at, count=1):
        """Crash some upstreams at the same moment for another reason."""

        def crash():
            for upstream in self.rng.sample(self.upstreams, count):
                self._crash(upstream)

        self._at(at, crash)

    def restart_entry(self, at):
        """Restart an entry, which forgets its table."""

        def restart():
            entry = self.rng.choice(self.entries)
            entry.table = self._new_table(entry.name)
            entry.started_at = self.now

        self._at(at, restart)

    def run(self, until):
        """Run all events up to a time."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = until

    def share_begun(self, since, until):
        """Return the share of sound requests begun at their first send."""
        chosen = [
            item.began_at_first_send
            for item in self.requests
            if item.is_sound and since <= item.sent_at < until
        ]
        return sum(chosen) / len(chosen)

    # Entries.

    def _new_table(self, name):
        return poison.PoisonTable(name, random.Random(self.rng.random()))

    def _receive(self, parts, is_sound, identity=''):
        number = next(self._numbers)
        request = Request(
            f'r{number}', parts, self.now, is_sound, identity or f'i{number}'
        )
        self.requests.append(request)
        self._place(self.rng.choice(self.entries), request)

    def _place(self, entry, request):
        judgement = entry.table.judge(
            SERVICE,
            request.parts,
            request.id,
            self.now,
            [item.name for item in self.entries],
            is_repeat=request.sends > 0,
            identity=request.identity,
        )
        if judgement.decision is poison.Decision.REFUSE:
            request.outcome = 'blocked'
            return
        if judgement.is_request:
            self._broadcast(
                entry,
                poison.TrialNews(
                    poison.ANY_SERVICE, judgement.part, judgement.level
                ),
            )
        ready = [item for item in self.upstreams if item.is_up]
        if not ready:
            request.outcome = 'refused'
            return
        request.sends += 1
        upstream = self.rng.choice(ready)
        if not request.is_sound:
            self.arrivals.append(self.now)
            if entry.started_at and self.now < entry.started_at + CONTACT_S:
                self.late_starters.append(self.now)
        if self.now < upstream.stalled_until:
            request.outcome = 'refused'
            return
        send = Send(request, entry)
        upstream.sends[send] = None
        self._after(
            self.rng.uniform(*BEGIN_S), lambda: self._begin(upstream, send)
        )

    def _fail(self, send, upstream, born):
        """Let an entry learn of a send that broke off."""
        send.is_over = True
        if not send.has_events:
            self._after(0.003, lambda: self._report(send, upstream, born))
        if send.request.sends < self.max_sends and not send.has_events:
            self._after(0.005, lambda: self._place(send.entry, send.request))
        else:
            send.request.outcome = 'failed'

    def _report(self, send, upstream, born):
        if upstream.is_up and upstream.born == born:
            return
        table = send.entry.table
        parts = table.find_suspects(SERVICE, send.request.parts, self.now)
        suspect = poison.SuspectRequest(
            send.request.id, parts, send.request.identity
        )
        report = poison.CrashReport(SERVICE, upstream.name, born, (suspect,))
        self._broadcast(send.entry, report)
        self._publish(send.entry, table.record_crash(report, self.now))

    def _publish(self, entry, news):
        if news is not None:
            self.blocked |= {item.part for item in news.blocks}
            self._broadcast(entry, news)

    def _broadcast(self, sender, message):
        for entry in self.entries:
            if entry is not sender and self.rng.random() >= self.lost:
                self._after(
                    self.rng.uniform(*DELAY_S),
                    lambda entry=entry: self._deliver(entry, message),
                )

    def _deliver(self, entry, message):
        table = entry.table
        if isinstance(message, poison.CrashReport):
            self._publish(entry, table.record_crash(message, self.now))
        elif isinstance(message, poison.TrialNews):
            table.apply_trial(message, self.now)
        elif isinstance(message, poison.PartsCleared):
            self._publish(entry, table.apply_cleared(message, self.now))
        else:
            table.apply_blocks(message, self.now)

    def _tick(self):
        for entry in self.entries:
            for message in entry.table.due_objections(self.now):
                self._broadcast(entry, message)
            entry.table.forget_expired(self.now)
        self._after(TICK_S, self._tick)

    def _synchronise(self):
        """Let each entry compare its digest with that of another one."""
        for entry in self.entries:
            other = self.rng.choice(self.entries)
            if other.table.digest not in (0, entry.table.digest):
                news = other.table.blocks(self.now)
                entry.table.apply_blocks(news, self.now)
        self._after(SYNC_S, self._synchronise)

    # Upstreams.

    def _begin(self, upstream, send):
        if send.is_over:
            return
        send.is_begun = True
        if send.request.sends == 1:
            send.request.began_at_first_send = True
        if not send.request.is_sound:
            self._after(CRASH_AFTER_S, lambda: self._crash_on(upstream, send))
            return
        self._after(EVENTS_AFTER_S, lambda: self._record_events(send))
        self._after(ANSWER_S, lambda: self._end(upstream, send))

    def _crash_on(self, upstream, send):
        if not send.is_over:
            self.crashes.append(self.now)
            self._crash(upstream)

    def _record_events(self, send):
        if send.is_over:
            return
        send.has_events = True
        table = send.entry.table
        for cleared in (
            table.record_answer(SERVICE, send.request.parts, self.now),
            table.clear_request(send.request.identity, self.now),
        ):
            if cleared is not None:
                self._broadcast(send.entry, cleared)

    def _end(self, upstream, send):
        if not send.is_over:
            send.is_over = True
            upstream.sends.pop(send, None)
            send.request.outcome = 'served'

    def _crash(self, upstream):
        if not upstream.is_up:
            return
        upstream.is_up = False
        born, sends = upstream.born, upstream.sends
        upstream.sends = {}
        for send in sends:
            if not send.is_over:
                self._fail(send, upstream, born)
        back_s = self.rng.uniform(*BACK_S)
        for peer in self.upstreams:
            if peer.group == upstream.group and peer is not upstream:
                peer.stalled_until = self.now + back_s
                self._after(STALL_S, lambda peer=peer: self._cut(peer))
        self._after(back_s, lambda: self._come_back(upstream))

    def _cut(self, upstream):
        sends, upstream.sends = upstream.sends, {}
        for send in sends:
            if not send.is_over:
                self._fail(send, upstream, upstream.born)

    def _come_back(self, upstream):
        upstream.born += 1
        upstream.is_up = True

    # The queue of events.

    def _at(self, at, action):
        heapq.heappush(self._queue, (at, next(self._order), action))

    def _after(self, delay_s, action):
        self._at(self.now + delay_s, action)

    def _repeat(self, per_s, until, action):
        if self.now < until:
            action()
            self._after(
                self.rng.expovariate(per_s),
                lambda: self._repeat(per_s, until, action),
            )
