"""The state machine that distributes revisions, the same in every process."""

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
ANNOUNCEMENT_INTERVAL_S = 1.0
CUT_OFF_S = 5.0
MIN_REPULL_INTERVAL_S = 0.1

Effects = list[Any]


@attrs.define
class Spreader:
    """State of the distribution of revisions in one process.

    Attributes:
        revision: the revision applied.
        min_revision: no revision below it may get into force; the highest
            one that a quorum read has found.
        head: the highest revision that a message has named.
    """

    cfg: events.SpreadConfig
    rng: random.Random
    phase: events.Phase = events.Phase.RECOVERING
    revision: int = 0
    min_revision: int = 0
    head: int = 0
    _window: window.Window = attrs.field(init=False)
    _children: children.Children = attrs.field(init=False)
    _control: control.Control = attrs.field(init=False)
    _puller: puller.Puller = attrs.field(init=False)
    _quorum_read: quorum.QuorumRead = attrs.field(init=False)
    _snapshot_server: snapshots.SnapshotServer = attrs.field(
        factory=snapshots.SnapshotServer
    )
    _download: snapshots.Download | None = None
    _quorum_contact_s: float = -float('inf')
    _pushed_revision: int = 0
    _next_announcement_s: float = 0.0
    _last_repull_s: float = -float('inf')

    def __attrs_post_init__(self) -> None:
        """Create the components that depend on the settings."""
        is_leaf = self.cfg.max_children == 0
        self._window = window.Window(
            0 if is_leaf else self.cfg.window_deltas, self.cfg.window_bytes
        )
        self._children = children.Children(self.cfg.max_children)
        self._control = control.Control(self.cfg)
        self._quorum_read = quorum.QuorumRead.start(self.rng)
        self._puller = puller.Puller.for_host(
            self.cfg.host, self.cfg.parents, self.rng
        )

    @classmethod
    def from_config(
        cls, cfg: events.SpreadConfig, rng: random.Random
    ) -> 'Spreader':
        """Return the state of a process before ``Restarted``."""
        return cls(cfg=cfg, rng=rng)

    def handle(self, event: Any, now: float) -> Effects:
        """Apply an event and return its effects; ``now`` is in seconds."""
        return self._handle(event, now)

    def status(self, now: float) -> events.SpreadStatus:
        """Return the status for operators."""
        age_s = now - self._last_quorum_contact_s(now)
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
            self._control.last_index_at_start = event.last_index
            return self._finish_recovery(now)
        return self._send_queries(now)

    @_handle.register
    def _(self, event: events.Restored, now: float) -> Effects:
        if event.revision <= self.revision:
            return []
        effects = self._apply_snapshot(event.revision, event.data)
        self._control.record_revision(self.cfg.host, event.revision, now)
        return effects + self._advance_commit(event.revision, now)

    @_handle.register
    def _(self, event: events.Committed, now: float) -> Effects:
        if event.revision <= self.revision:
            return []
        delta = messages.Delta(event.revision, self.revision, event.data)
        effects = self._apply_delta(delta)
        self._control.record_revision(self.cfg.host, event.revision, now)
        effects.extend(self._advance_commit(event.revision, now))
        effects.extend(self._announce_revision(now))
        return effects + self._push(now)

    @_handle.register
    def _(self, event: events.CommitAdvanced, now: float) -> Effects:
        return self._advance_commit(event.index, now)

    @_handle.register
    def _(self, event: events.VotersChanged, now: float) -> Effects:
        self.cfg = attrs.evolve(
            self.cfg, voters=event.voters, parents=event.parents
        )
        self._control.cfg = self.cfg
        self._puller = puller.Puller.for_host(
            self.cfg.host, self.cfg.parents, self.rng
        )
        return self._finish_quorum_read(now) if self._is_recovering() else []

    @_handle.register
    def _(self, event: events.SnapshotTaken, now: float) -> Effects:
        self._snapshot_server.store(event.revision, event.data, now)
        return self._serve_waiting(now)

    @_handle.register
    def _(self, event: events.Tick, now: float) -> Effects:
        self._children.expire(now)
        self._snapshot_server.expire(now)
        if self.cfg.is_control:
            return self._tick_control(now)
        if self._is_recovering():
            return self._send_queries(now)
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
        self._control.record_revision(sender, message.revision, now)
        return self._push(now) + self._serve_waiting(now)

    @_receive.register
    def _(
        self, message: messages.RevisionQuery, sender: str, now: float
    ) -> Effects:
        if not self.cfg.is_control or not self._control.has_recovered:
            return []
        revision = self._control.own_revision()
        reply = messages.RevisionReply(message.nonce, revision)
        return [events.Send(sender, reply)]

    @_receive.register
    def _(
        self, message: messages.RevisionReply, sender: str, now: float
    ) -> Effects:
        if not self._is_recovering():
            return []
        self._quorum_read.add_answer(
            sender, message.nonce, message.revision, self.cfg.voters
        )
        return self._finish_quorum_read(now)

    @_receive.register
    def _(self, message: messages.Pull, sender: str, now: float) -> Effects:
        if self.phase is not events.Phase.READY:
            return []
        subscribed = message.subscribe and self._children.renew(sender, now)
        limit = self._release_limit()
        items = self._window.since(message.revision, limit)
        reply = messages.Deltas(
            items=items or (),
            head=limit,
            age_s=now - self._last_quorum_contact_s(now),
            gone=items is None,
            subscribed=subscribed,
        )
        return [events.Send(sender, reply)]

    @_receive.register
    def _(self, message: messages.Deltas, sender: str, now: float) -> Effects:
        if self.cfg.is_control or self._is_recovering():
            return []
        self._quorum_contact_s = max(
            self._quorum_contact_s, now - message.age_s
        )
        self.head = max(self.head, message.head)
        if not message.push:
            self._on_pull_reply(message, sender)
        if message.gone:
            return self._start_download(sender, message.head, now)
        return self._apply_deltas(message, sender, now)

    @_receive.register
    def _(
        self, message: messages.SnapshotPull, sender: str, now: float
    ) -> Effects:
        if self.phase is not events.Phase.READY:
            return []
        if self._can_serve_snapshot():
            part = self._snapshot_server.part(message, now)
            return [events.Send(sender, part)]
        self._snapshot_server.add_waiting(sender)
        if not self._snapshot_server.should_request(self._release_limit()):
            return []
        return [events.ProvideSnapshot()]

    @_receive.register
    def _(
        self, message: messages.SnapshotPart, sender: str, now: float
    ) -> Effects:
        download = self._download
        if download is None or download.parent != sender:
            return []
        if message.revision <= self.revision:
            self._download = None
            return []
        if not download.add_part(message):
            return []
        download.requested_s = now
        data = download.assemble(message)
        if data is None:
            return [events.Send(sender, download.request)]
        self._download = None
        effects = self._apply_snapshot(message.revision, data)
        effects.extend(self._become_ready())
        return effects + self._repull(sender, now)

    def _tick_control(self, now: float) -> Effects:
        if now < self._next_announcement_s:
            return []
        self._next_announcement_s = now + ANNOUNCEMENT_INTERVAL_S
        return self._announce_revision(now)

    def _announce_revision(self, now: float) -> Effects:
        if not self._control.has_recovered:
            return []
        known = messages.Known(self._control.own_revision())
        return [
            events.Send(voter, known)
            for voter in self.cfg.voters
            if voter != self.cfg.host
        ]

    def _advance_commit(self, index: int, now: float) -> Effects:
        self._control.commit_index = max(self._control.commit_index, index)
        return self._finish_recovery(now)

    def _finish_recovery(self, now: float) -> Effects:
        if not self._control.has_recovered:
            return []
        return self._become_ready()

    def _is_recovering(self) -> bool:
        return self.phase is events.Phase.RECOVERING

    def _send_queries(self, now: float) -> Effects:
        if not self._quorum_read.is_due(now):
            return []
        query = messages.RevisionQuery(self._quorum_read.nonce)
        missing = self._quorum_read.missing_voters(self.cfg.voters)
        return [events.Send(voter, query) for voter in missing]

    def _finish_quorum_read(self, now: float) -> Effects:
        if not self._quorum_read.is_complete(self.cfg.voters):
            return []
        self.min_revision = max(self._quorum_read.answers.values())
        self.head = self.min_revision
        self.phase = events.Phase.CATCHING_UP
        self._quorum_contact_s = now
        return self._become_ready() + self._tick_child(now)

    def _become_ready(self) -> Effects:
        if (
            self.phase is events.Phase.READY
            or self.revision < self.min_revision
        ):
            return []
        self.phase = events.Phase.READY
        return [events.Ready()]

    def _tick_child(self, now: float) -> Effects:
        effects = self._retry_download(now)
        parent = self._puller.next_parent(now)
        if parent is not None:
            effects.append(self._pull(parent))
        return effects

    def _pull(self, parent: str) -> events.Send:
        subscribe = parent == self._puller.subscribed_to
        return events.Send(parent, messages.Pull(self.revision, subscribe))

    def _repull(self, parent: str, now: float) -> Effects:
        if now - self._last_repull_s < MIN_REPULL_INTERVAL_S:
            return []
        self._last_repull_s = now
        return [self._pull(parent)]

    def _on_pull_reply(self, message: messages.Deltas, sender: str) -> None:
        self._puller.on_reply(sender)
        if not message.subscribed:
            self._puller.on_subscription_refused(sender)

    def _apply_deltas(
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
        self._pushed_revision = revision
        self._window.reset(revision)
        return [events.ApplySnapshot(revision, data)]

    def _release_limit(self) -> int:
        if not self.cfg.is_control:
            return self.revision
        return min(self.revision, self._control.released_revision())

    def _push(self, now: float) -> Effects:
        limit = self._release_limit()
        if (
            limit <= self._pushed_revision
            or self.phase is not events.Phase.READY
        ):
            return []
        items = self._window.since(self._pushed_revision, limit)
        self._pushed_revision = limit
        message = messages.Deltas(
            items=items or (),
            head=limit,
            age_s=now - self._last_quorum_contact_s(now),
            subscribed=True,
            push=True,
        )
        return [
            events.Send(child, message) for child in self._children.hosts()
        ]

    def _last_quorum_contact_s(self, now: float) -> float:
        if self.cfg.is_control:
            return self._control.quorum_contact_s(now)
        return self._quorum_contact_s

    def _start_download(self, parent: str, head: int, now: float) -> Effects:
        if self._download is not None:
            return []
        if head < max(self.min_revision, self.revision + 1):
            return []
        self._download = snapshots.Download(parent, now)
        return [events.Send(parent, self._download.request)]

    def _retry_download(self, now: float) -> Effects:
        download = self._download
        if download is None:
            return []
        if download.has_failed(now):
            self._download = None
            return []
        request = download.retry(now)
        return [events.Send(download.parent, request)] if request else []

    def _can_serve_snapshot(self) -> bool:
        return self._snapshot_server.can_serve(
            self._window.base, self._release_limit()
        )

    def _serve_waiting(self, now: float) -> Effects:
        if not self._can_serve_snapshot():
            return []
        request = messages.SnapshotPull()
        return [
            events.Send(child, self._snapshot_server.part(request, now))
            for child in self._snapshot_server.pop_waiting()
        ]
