"""Runs a replica of the log on a host with a data folder."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
from concurrent import futures
import functools
import itertools
import time
from typing import Any

import attrs

from cassiashift_core import consensus
from cassiashift_core import fleet
from cassiashift_core import spread
from cassiashift_core import state
from cassiashift_core.state import results
from cassiashift_daemon import logs
from cassiashift_daemon import storage
from cassiashift_net import links
from cassiashift_net import messages


def boot_time_s() -> float:
    """Return a clock that goes on while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def _sync_thread() -> futures.Executor:
    """Return a thread of its own, so that nothing else delays a sync."""
    return futures.ThreadPoolExecutor(1, thread_name_prefix='log-sync')


@attrs.define(eq=False)
class _Pending:
    """A proposal that was appended and waits to be applied."""

    token: str
    term: int
    sender: links.Sender


@attrs.define(eq=False)
class Voter:
    """Connects the replica with the links, the disk and the state.

    Attributes:
        on_event: called with events for the spread of what is committed.
        on_failed: called when the process must end, since its storage or
            its replica can't be trusted any more.
        on_decision: called with each decision of a map switch.
        on_document: called with each configuration that is committed.
        on_advanced: called after entries were applied, after a snapshot
            was installed and after the role has changed.
    """

    replica: consensus.Replica
    store: storage.Storage
    machine: state.StateMachine
    links: links.Links
    addresses: Mapping[str, str]
    on_event: Callable[[Any], None]
    on_failed: Callable[[str], None]
    on_decision: Callable[[Any], None] = lambda event: None
    on_document: Callable[[fleet.Document], None] = lambda document: None
    on_advanced: Callable[[], None] = lambda: None
    _senders: dict[str, links.Sender] = attrs.field(factory=dict)
    _pending: dict[int, _Pending] = attrs.field(factory=dict)
    _reads: dict[str, Callable[[], None]] = attrs.field(factory=dict)
    _tokens: Iterator[int] = attrs.field(factory=itertools.count)
    _applied_term: int = 0
    _unsynced: list = attrs.field(factory=list)
    _syncs: futures.Executor = attrs.field(factory=_sync_thread)
    _work: asyncio.Event = attrs.field(factory=asyncio.Event)

    def handle(self, event: Any) -> None:
        """Give an event to the replica and carry its effects out."""
        try:
            effects = self.replica.handle(event, boot_time_s())
        except Exception as exc:
            self.on_failed(f'replica: {exc!r}')
            raise
        for effect in effects:
            self._carry_out(effect)

    def tick(self) -> None:
        """Tell the replica that time has passed."""
        self.handle(consensus.Tick())

    def received(self, sender: links.Sender, message: Any) -> None:
        """Take a message from another voter."""
        self.handle(consensus.Received(sender.host, message))

    def propose(
        self, sender: links.Sender, message: messages.Proposal
    ) -> None:
        """Put a command into the log and answer when it is applied."""
        self._senders[message.token] = sender
        self.handle(consensus.Propose(message.token, message.data))

    @property
    def led_term(self) -> int | None:
        """Return the term that this host leads.

        There is none before the first entry of the term was applied.
        """
        replica = self.replica
        if replica.role is not consensus.Role.LEADER:
            return None
        return replica.term if self._applied_term == replica.term else None

    def propose_unanswered(self, data: bytes) -> None:
        """Put a command into the log if this host leads."""
        token = f'{self.replica.host}/own/{next(self._tokens)}'
        self.handle(consensus.Propose(token, data))

    def read(self, done: Callable[[], None]) -> None:
        """Call back when the applied state is known to be the newest.

        There is no call when this host does not lead.
        """
        token = f'{self.replica.host}/read/{next(self._tokens)}'
        self._reads[token] = done
        self.handle(consensus.Read(token))

    async def sync_forever(self) -> None:
        """Make what the replica persists durable, many at a time."""
        loop = asyncio.get_running_loop()
        while True:
            await self._work.wait()
            self._work.clear()
            batch, self._unsynced = self._unsynced, []
            if not batch:
                continue
            try:
                await loop.run_in_executor(
                    self._syncs, self.store.persist, batch
                )
            except Exception as exc:
                self.handle(consensus.StorageFailed())
                self.on_failed(f'storage: {exc}')
                return
            self.handle(consensus.Synced(batch[-1].sequence))

    @functools.singledispatchmethod
    def _carry_out(self, effect: Any) -> None:
        raise TypeError(f'no such effect: {type(effect).__name__}')

    @_carry_out.register
    def _(self, effect: consensus.Send) -> None:
        address = self.addresses.get(effect.receiver)
        if address is not None:
            self.links.send(address, effect.message)

    @_carry_out.register
    def _(self, effect: consensus.Persist) -> None:
        self._unsynced.append(effect)
        self._work.set()

    @_carry_out.register
    def _(self, effect: consensus.Apply) -> None:
        for item in effect.entries:
            self._apply(item)
        for delta in self.machine.pop_deltas():
            self.on_event(spread.Committed(delta.revision, delta.encode()))
        for event in self.machine.pop_decisions():
            self.on_decision(event)
        for document in self.machine.pop_documents():
            self.on_document(document)
        self.on_advanced()
        self._note_commit()

    @_carry_out.register
    def _(self, effect: consensus.InstallSnapshot) -> None:
        data = effect.snapshot.data
        self.machine = state.StateMachine.from_snapshot(data)
        self._fail_pending()
        shared = self.machine.shared
        self.on_event(spread.Restored(shared.revision, shared.encode()))
        self.on_document(self.machine.document)
        self.on_advanced()
        self._note_commit()

    @_carry_out.register
    def _(self, effect: consensus.ProposalAppended) -> None:
        sender = self._senders.pop(effect.token, None)
        if sender is None:
            return
        self._pending[effect.index] = _Pending(
            effect.token, effect.term, sender
        )

    @_carry_out.register
    def _(self, effect: consensus.ProposalFailed) -> None:
        sender = self._senders.pop(effect.token, None)
        for index, pending in list(self._pending.items()):
            if pending.token == effect.token:
                sender = pending.sender
                del self._pending[index]
        if sender is not None:
            self._refuse(effect.token, sender, effect.reason.value)

    @_carry_out.register
    def _(self, effect: consensus.TakeSnapshot) -> None:
        taken = consensus.SnapshotTaken(effect.index, self.machine.snapshot())
        asyncio.get_running_loop().call_soon(self.handle, taken)

    @_carry_out.register
    def _(self, effect: consensus.RoleChanged) -> None:
        logs.info(
            'role_changed',
            role=effect.role.value,
            term=effect.term,
            leader=effect.leader,
        )
        self.on_advanced()

    @_carry_out.register
    def _(self, effect: consensus.ReadReady) -> None:
        self._reads.pop(effect.token)()

    @_carry_out.register
    def _(self, effect: consensus.ReadFailed) -> None:
        del self._reads[effect.token]

    def _note_commit(self) -> None:
        self.on_event(spread.CommitAdvanced(self.replica.commit_index))

    def _apply(self, item: consensus.Entry) -> None:
        result = None
        self._applied_term = item.term
        if item.kind is consensus.EntryKind.COMMAND:
            result = self.machine.apply(item.index, item.data)
        pending = self._pending.pop(item.index, None)
        if pending is None:
            return
        if pending.term == item.term and result is not None:
            encoded = results.CODEC.encode(result)
            pending.sender.reply(
                messages.ProposalAnswer(pending.token, encoded)
            )
        else:
            self._refuse(pending.token, pending.sender, 'not_leader')

    def _fail_pending(self) -> None:
        for pending in self._pending.values():
            self._refuse(pending.token, pending.sender, 'unknown')
        self._pending.clear()

    def _refuse(self, token: str, sender: links.Sender, why: str) -> None:
        leader = self.replica.leader or ''
        sender.reply(messages.ProposalAnswer(token, b'', why, leader))
