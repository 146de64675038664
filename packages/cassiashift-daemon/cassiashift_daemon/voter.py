"""Runs a replica of the consensus log on a host with a data folder."""

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
from cassiashift_core import evacuation
from cassiashift_core import fleet
from cassiashift_core import spread
from cassiashift_core import state
from cassiashift_core.state import results
from cassiashift_daemon import logs
from cassiashift_daemon import storage
from cassiashift_net import links
from cassiashift_net import proposal_messages


def boot_time_s() -> float:
    """Return the seconds since boot, including time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def _create_sync_executor() -> futures.Executor:
    """Return a thread just for syncs, so that nothing delays them."""
    return futures.ThreadPoolExecutor(1, thread_name_prefix='log-sync')


@attrs.define(eq=False)
class _PendingProposal:
    """A proposal that was appended to the log and is not applied yet."""

    token: str
    term: int
    sender: links.Sender


@attrs.define(eq=False)
class Voter:
    """Connects the replica with the links, the disk and the state machine.

    Attributes:
        addresses: link address of each voter by host.
        on_event: called with the events that the spread of committed
            changes needs.
        on_failed: called with a reason if the process must end, because its
            storage or its replica has failed.
        on_decision: called with each committed decision of a map switch.
        on_document: called with each committed configuration.
        on_evacuations: called with each committed state of evacuations.
        on_advanced: called after entries were applied, after a snapshot was
            installed and after the role has changed.
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
    on_evacuations: Callable[[evacuation.Evacuations], None] = (
        lambda evacuations: None
    )
    on_advanced: Callable[[], None] = lambda: None
    _senders: dict[str, links.Sender] = attrs.field(factory=dict)
    _pending: dict[int, _PendingProposal] = attrs.field(factory=dict)
    _read_callbacks: dict[str, Callable[[], None]] = attrs.field(factory=dict)
    _token_numbers: Iterator[int] = attrs.field(factory=itertools.count)
    _applied_term: int = 0
    _unsynced: list = attrs.field(factory=list)
    _sync_executor: futures.Executor = attrs.field(
        factory=_create_sync_executor
    )
    _persist_requested: asyncio.Event = attrs.field(factory=asyncio.Event)

    def handle(self, event: Any) -> None:
        """Pass an event to the replica and carry out its effects.

        An exception is raised again, after ``on_failed``.
        """
        try:
            for effect in self.replica.handle(event, boot_time_s()):
                self._carry_out(effect)
        except Exception as exc:
            self.on_failed(f'replica: {exc!r}')
            raise

    def tick(self) -> None:
        """Let the replica check its timeouts."""
        self.handle(consensus.Tick())

    def hand_over(self) -> None:
        """Hand the leadership over before a planned stop, if this host leads.

        A failure is reported to ``on_failed`` only: the stop goes on.
        """
        try:
            self.handle(consensus.HandOver())
        except Exception as exc:
            logs.error('hand_over_failed', error=repr(exc))

    def received(self, sender: links.Sender, message: Any) -> None:
        """Pass a message from another voter to the replica.

        A malformed one is dropped.
        """
        problem = consensus.find_problem(message)
        if problem:
            logs.warning(
                'message_malformed',
                peer=sender.host,
                message=type(message).__name__,
                reason=problem,
            )
            return
        self.handle(consensus.Received(sender.host, message))

    def propose(
        self, sender: links.Sender, message: proposal_messages.Proposal
    ) -> None:
        """Propose a command, and reply with its result once it is applied."""
        self._senders[message.token] = sender
        self.handle(consensus.Propose(message.token, message.data))

    @property
    def led_term(self) -> int | None:
        """Return the term that this host leads, or None.

        It is None as well until an entry of the term has been applied.
        """
        replica = self.replica
        if replica.role is not consensus.Role.LEADER:
            return None
        return replica.term if self._applied_term == replica.term else None

    def propose_unanswered(self, data: bytes) -> None:
        """Propose a command if this host leads; nobody gets its result."""
        token = f'{self.replica.host}/own/{next(self._token_numbers)}'
        self.handle(consensus.Propose(token, data))

    def read(self, done: Callable[[], None]) -> None:
        """Call back once the applied state is known to be up to date.

        There is no call if this host does not lead.
        """
        token = f'{self.replica.host}/read/{next(self._token_numbers)}'
        self._read_callbacks[token] = done
        self.handle(consensus.Read(token))

    async def sync_forever(self) -> None:
        """Write what the replica persists to disk, in batches.

        Any failure ends the loop, and ``on_failed`` is called: without the
        loop nothing becomes durable.
        """
        try:
            await self._sync_until_failed()
        except Exception as exc:
            # ``handle`` has called ``on_failed``.
            logs.error('sync_ended', error=repr(exc))

    async def wait_written(self) -> None:
        """Wait until a write in progress has ended, also a cancelled one."""
        await asyncio.get_running_loop().run_in_executor(
            self._sync_executor, lambda: None
        )

    async def _sync_until_failed(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await self._persist_requested.wait()
            self._persist_requested.clear()
            batch, self._unsynced = self._unsynced, []
            if not batch:
                continue
            try:
                await loop.run_in_executor(
                    self._sync_executor, self.store.persist, batch
                )
            except Exception as exc:
                self.handle(consensus.StorageFailed())
                self.on_failed(f'storage: {exc}')
                return
            self.handle(consensus.Synced(batch[-1].sequence))

    @functools.singledispatchmethod
    def _carry_out(self, effect: Any) -> None:
        raise TypeError(f'unknown effect: {type(effect).__name__}')

    @_carry_out.register
    def _(self, effect: consensus.Send) -> None:
        address = self.addresses.get(effect.receiver)
        if address is not None:
            self.links.send(address, effect.message)

    @_carry_out.register
    def _(self, effect: consensus.Persist) -> None:
        self._unsynced.append(effect)
        self._persist_requested.set()

    @_carry_out.register
    def _(self, effect: consensus.Apply) -> None:
        for item in effect.entries:
            self._apply(item)
        for delta in self.machine.pop_deltas():
            self.on_event(spread.Committed(delta.revision, delta.encode()))
        for event in self.machine.pop_decisions():
            self.on_decision(event)
        for evacuations in self.machine.pop_evacuations():
            self.on_evacuations(evacuations)
        for document in self.machine.pop_documents():
            self.on_document(document)
        self.on_advanced()
        self._report_commit()

    @_carry_out.register
    def _(self, effect: consensus.InstallSnapshot) -> None:
        data = effect.snapshot.data
        self.machine = state.StateMachine.from_snapshot(data)
        self._refuse_pending()
        shared = self.machine.shared
        self.on_event(spread.Restored(shared.revision, shared.encode()))
        self.on_evacuations(shared.evacuations)
        self.on_document(self.machine.document)
        self.on_advanced()
        self._report_commit()

    @_carry_out.register
    def _(self, effect: consensus.ProposalAppended) -> None:
        sender = self._senders.pop(effect.token, None)
        if sender is None:
            return
        self._pending[effect.index] = _PendingProposal(
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
        snapshot_taken = consensus.SnapshotTaken(
            effect.index, self.machine.snapshot()
        )
        asyncio.get_running_loop().call_soon(self.handle, snapshot_taken)

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
        self._read_callbacks.pop(effect.token)()

    @_carry_out.register
    def _(self, effect: consensus.ReadFailed) -> None:
        del self._read_callbacks[effect.token]

    def _report_commit(self) -> None:
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
                proposal_messages.ProposalAnswer(pending.token, encoded)
            )
        else:
            self._refuse(pending.token, pending.sender, 'not_leader')

    def _refuse_pending(self) -> None:
        for pending in self._pending.values():
            self._refuse(pending.token, pending.sender, 'unknown')
        self._pending.clear()

    def _refuse(self, token: str, sender: links.Sender, reason: str) -> None:
        leader = self.replica.leader or ''
        sender.reply(
            proposal_messages.ProposalAnswer(token, b'', reason, leader)
        )
