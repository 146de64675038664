"""The spread of accepted revisions to every process."""

import functools
import random
from typing import Any

import attrs

from cassiashift_core.spread import children
from cassiashift_core.spread import control
from cassiashift_core.spread import events
from cassiashift_core.spread import messages
from cassiashift_core.spread import puller
from cassiashift_core.spread import quorum
from cassiashift_core.spread import snapshots
from cassiashift_core.spread import window

TICK_INTERVAL_S = 0.2
KNOWN_INTERVAL_S = 1.0
CUT_OFF_S = 5.0
REPULL_INTERVAL_S = 0.1

Effects = list[Any]


@attrs.define
class Spreader:
    """State of the spread in one process.

    Attributes:
        revision: the revision applied.
        floor: no revision below it may get into force.
        head: the highest revision heard of.
    """

    cfg: events.SpreadConfig
    rng: random.Random
    phase: events.Phase = events.Phase.RECOVERING
    revision: int = 0
    floor: int = 0
    head: int = 0
    _window: window.Window = attrs.field(init=False)
    _children: children.Children = attrs.field(init=False)
    _control: control.Control = attrs.field(init=False)
    _puller: puller.Puller = attrs.field(init=False)
    _read: quorum.QuorumRead = attrs.field(init=False)
    _server: snapshots.SnapshotServer = attrs.field(
        factory=snapshots.SnapshotServer
    )
    _assembly: snapshots.Assembly | None = None
    _contact_s: float = -float('inf')
    _pushed: int = 0
    _next_known_s: float = 0.0
    _repulled_s: float = -float('inf')

    def __attrs_post_init__(self) -> None:
        """Build the parts that depend on the settings."""
        is_leaf = self.cfg.max_children == 0
        self._window = window.Window(
            0 if is_leaf else self.cfg.window_deltas, self.cfg.window_bytes
        )
        self._children = children.Children(self.cfg.max_children)
        self._control = control.Control(self.cfg)
        self._read = quorum.QuorumRead.start(self.rng)
        self._puller = puller.Puller.choose(
            self.cfg.host, self.cfg.parents, self.rng
        )

    @classmethod
    def from_config(
        cls, cfg: events.SpreadConfig, rng: random.Random
    ) -> 'Spreader':
        """Return the state of a process before ``Restarted``."""
        return cls(cfg=cfg, rng=rng)

    def handle(self, event: Any, now: float) -> Effects:
        """Return the effects of an event at a time."""
        return self._handle(event, now)

    def status(self, now: float) -> events.SpreadStatus:
        """Return the status for operators."""
        age_s = now - self._last_contact_s(now)
        return events.SpreadStatus(
            phase=self.phase,
            revision=self.revision,
            head=max(self.head, self.revision),
            age_s=age_s,
            cut_off=age_s > CUT_OFF_S,
        )

    @functools.singledispatchmethod
    def _handle(self, event: Any, now: float) -> Effects:
        raise TypeError(f'unknown event {type(event).__name__}')

    @_handle.register
    def _(self, event: events.Restarted, now: float) -> Effects:
        if self.cfg.is_control:
            self._control.held = event.held
            return self._settle(now)
        return self._query(now)

    @_handle.register
    def _(self, event: events.Restored, now: float) -> Effects:
        if event.revision <= self.revision:
            return []
        effects = self._apply_snapshot(event.revision, event.data)
        self._control.learn(self.cfg.host, event.revision, now)
        return effects + self._advance(event.revision, now)

    @_handle.register
    def _(self, event: events.Committed, now: float) -> Effects:
        if event.revision <= self.revision:
            return []
        delta = messages.Delta(event.revision, self.revision, event.data)
        effects = self._apply_delta(delta)
        self._control.learn(self.cfg.host, event.revision, now)
        effects.extend(self._advance(event.revision, now))
        effects.extend(self._tell_known(now))
        return effects + self._push(now)

    @_handle.register
    def _(self, event: events.CommitAdvanced, now: float) -> Effects:
        return self._advance(event.index, now)

    @_handle.register
    def _(self, event: events.VotersChanged, now: float) -> Effects:
        self.cfg = attrs.evolve(
            self.cfg, voters=event.voters, parents=event.parents
        )
        self._control.cfg = self.cfg
        self._puller = puller.Puller.choose(
            self.cfg.host, self.cfg.parents, self.rng
        )
        return self._finish_read(now) if self._is_reading() else []

    @_handle.register
    def _(self, event: events.SnapshotTaken, now: float) -> Effects:
        self._server.hold(event.revision, event.data, now)
        return self._serve_waiting(now)

    @_handle.register
    def _(self, event: events.Tick, now: float) -> Effects:
        self._children.expire(now)
        self._server.expire(now)
        if self.cfg.is_control:
            return self._tick_control(now)
        if self._is_reading():
            return self._query(now)
        return self._tick_child(now)

    @_handle.register
    def _(self, event: events.Received, now: float) -> Effects:
        return self._receive(event.message, event.sender, now)

    @functools.singledispatchmethod
    def _receive(self, message: Any, sender: str, now: float) -> Effects:
        return []

    @_receive.register
    def _(self, message: messages.Known, sender: str, now: float) -> Effects:
        if not self.cfg.is_control or sender not in self.cfg.voters:
            return []
        self._control.learn(sender, message.revision, now)
        return self._push(now) + self._serve_waiting(now)

    @_receive.register
    def _(
        self, message: messages.RevisionQuery, sender: str, now: float
    ) -> Effects:
        if not self.cfg.is_control or not self._control.is_settled:
            return []
        known = self._control.known()
        reply = messages.RevisionReply(message.nonce, known)
        return [events.Send(sender, reply)]

    @_receive.register
    def _(
        self, message: messages.RevisionReply, sender: str, now: float
    ) -> Effects:
        if not self._is_reading():
            return []
        self._read.add(
            sender, message.nonce, message.revision, self.cfg.voters
        )
        return self._finish_read(now)

    @_receive.register
    def _(self, message: messages.Pull, sender: str, now: float) -> Effects:
        if self.phase is not events.Phase.READY:
            return []
        subscribed = message.subscribe and self._children.renew(sender, now)
        limit = self._given_away()
        items = self._window.since(message.revision, limit)
        reply = messages.Deltas(
            items=items or (),
            head=limit,
            age_s=now - self._last_contact_s(now),
            gone=items is None,
            subscribed=subscribed,
        )
        return [events.Send(sender, reply)]

    @_receive.register
    def _(self, message: messages.Deltas, sender: str, now: float) -> Effects:
        if self.cfg.is_control or self._is_reading():
            return []
        self._contact_s = max(self._contact_s, now - message.age_s)
        self.head = max(self.head, message.head)
        if not message.push:
            self._on_answer(message, sender)
        if message.gone:
            return self._start_assembly(sender, message.head, now)
        return self._take_deltas(message, sender, now)

    @_receive.register
    def _(
        self, message: messages.SnapshotPull, sender: str, now: float
    ) -> Effects:
        if self.phase is not events.Phase.READY:
            return []
        if self._can_serve_snapshot():
            part = self._server.part(message, now)
            return [events.Send(sender, part)]
        self._server.wait(sender)
        if not self._server.should_request(self._given_away()):
            return []
        return [events.ProvideSnapshot()]

    @_receive.register
    def _(
        self, message: messages.SnapshotPart, sender: str, now: float
    ) -> Effects:
        assembly = self._assembly
        if assembly is None or assembly.parent != sender:
            return []
        if message.revision <= self.revision:
            self._assembly = None
            return []
        if not assembly.add(message):
            return []
        assembly.asked_s = now
        data = assembly.data(message)
        if data is None:
            return [events.Send(sender, assembly.request)]
        self._assembly = None
        effects = self._apply_snapshot(message.revision, data)
        effects.extend(self._become_ready())
        return effects + self._repull(sender, now)

    def _tick_control(self, now: float) -> Effects:
        if now < self._next_known_s:
            return []
        self._next_known_s = now + KNOWN_INTERVAL_S
        return self._tell_known(now)

    def _tell_known(self, now: float) -> Effects:
        if not self._control.is_settled:
            return []
        known = messages.Known(self._control.known())
        return [
            events.Send(voter, known)
            for voter in self.cfg.voters
            if voter != self.cfg.host
        ]

    def _advance(self, index: int, now: float) -> Effects:
        self._control.commit_index = max(self._control.commit_index, index)
        return self._settle(now)

    def _settle(self, now: float) -> Effects:
        if not self._control.is_settled:
            return []
        return self._become_ready()

    def _is_reading(self) -> bool:
        return self.phase is events.Phase.RECOVERING

    def _query(self, now: float) -> Effects:
        if not self._read.is_due(now):
            return []
        query = messages.RevisionQuery(self._read.nonce)
        missing = self._read.missing(self.cfg.voters)
        return [events.Send(voter, query) for voter in missing]

    def _finish_read(self, now: float) -> Effects:
        if not self._read.is_complete(self.cfg.voters):
            return []
        self.floor = max(self._read.answers.values())
        self.head = self.floor
        self.phase = events.Phase.CATCHING_UP
        self._contact_s = now
        return self._become_ready() + self._tick_child(now)

    def _become_ready(self) -> Effects:
        if self.phase is events.Phase.READY or self.revision < self.floor:
            return []
        self.phase = events.Phase.READY
        return [events.Ready()]

    def _tick_child(self, now: float) -> Effects:
        effects = self._retry_part(now)
        parent = self._puller.due(now)
        if parent is not None:
            effects.append(self._pull(parent))
        return effects

    def _pull(self, parent: str) -> events.Send:
        subscribe = parent == self._puller.subscribed_to
        return events.Send(parent, messages.Pull(self.revision, subscribe))

    def _repull(self, parent: str, now: float) -> Effects:
        if now - self._repulled_s < REPULL_INTERVAL_S:
            return []
        self._repulled_s = now
        return [self._pull(parent)]

    def _on_answer(self, message: messages.Deltas, sender: str) -> None:
        self._puller.answered(sender)
        if not message.subscribed:
            self._puller.refused(sender)

    def _take_deltas(
        self, message: messages.Deltas, sender: str, now: float
    ) -> Effects:
        effects = []
        for delta in message.items:
            if delta.previous == self.revision:
                effects.extend(self._apply_delta(delta))
        if effects:
            effects.extend(self._become_ready())
            effects.extend(self._push(now))
        if message.head > self.revision:
            effects.extend(self._repull(sender, now))
        return effects

    def _apply_delta(self, delta: messages.Delta) -> Effects:
        self.revision = delta.revision
        self._window.append(delta)
        return [events.ApplyDelta(delta.revision, delta.data)]

    def _apply_snapshot(self, revision: int, data: bytes) -> Effects:
        self.revision = revision
        self._pushed = revision
        self._window.reset(revision)
        return [events.ApplySnapshot(revision, data)]

    def _given_away(self) -> int:
        if not self.cfg.is_control:
            return self.revision
        return min(self.revision, self._control.released())

    def _push(self, now: float) -> Effects:
        limit = self._given_away()
        if limit <= self._pushed or self.phase is not events.Phase.READY:
            return []
        items = self._window.since(self._pushed, limit)
        self._pushed = limit
        message = messages.Deltas(
            items=items or (),
            head=limit,
            age_s=now - self._last_contact_s(now),
            subscribed=True,
            push=True,
        )
        return [
            events.Send(child, message) for child in self._children.hosts()
        ]

    def _last_contact_s(self, now: float) -> float:
        if self.cfg.is_control:
            return self._control.contact_s(now)
        return self._contact_s

    def _start_assembly(self, parent: str, head: int, now: float) -> Effects:
        if self._assembly is not None:
            return []
        if head < max(self.floor, self.revision + 1):
            return []
        self._assembly = snapshots.Assembly(parent, now)
        return [events.Send(parent, self._assembly.request)]

    def _retry_part(self, now: float) -> Effects:
        assembly = self._assembly
        if assembly is None:
            return []
        if assembly.is_given_up(now):
            self._assembly = None
            return []
        request = assembly.retry(now)
        return [events.Send(assembly.parent, request)] if request else []

    def _can_serve_snapshot(self) -> bool:
        return self._server.can_serve(self._window.base, self._given_away())

    def _serve_waiting(self, now: float) -> Effects:
        if not self._can_serve_snapshot():
            return []
        request = messages.SnapshotPull()
        return [
            events.Send(child, self._server.part(request, now))
            for child in self._server.take_waiting()
        ]
