"""The state machine to which every voter applies the log."""

import functools
from typing import Any

import attrs
import msgspec

from cassiashift_core import codec
from cassiashift_core import evacuation
from cassiashift_core.fleet import documents
from cassiashift_core import mapswitch
from cassiashift_core.state import commands
from cassiashift_core.state import ledger
from cassiashift_core.state import results
from cassiashift_core.state import shared as shared_state

REMEMBERED_REQUESTS = 10_000
EXPIRY_INTERVAL_COMMANDS = 256


@attrs.define
class _SnapshotContent:
    """The content of a snapshot, as it is encoded."""

    shared: shared_state.SharedState
    calls: ledger.Ledger
    answers: list[tuple[str, bytes]]
    applied: int
    commands_applied: int
    groups: dict[str, mapswitch.GroupDecisions] = attrs.field(factory=dict)
    document: documents.Document = documents.Document()


@attrs.define
class StateMachine:
    """Applies commands in log order; equal logs lead to equal states.

    Attributes:
        pending_deltas: changes of the shared state that the owner has yet to
            fetch.
        groups: the committed decisions on each group's map.
        pending_decisions: committed decisions on map switches that the owner
            has yet to fetch.
        document: the committed configuration of routes by operators.
        pending_documents: new committed configurations that the owner has yet
            to fetch.
        pending_evacuations: new committed states of evacuations that the
            owner has yet to fetch.
    """

    shared: shared_state.SharedState = attrs.field(
        factory=shared_state.SharedState
    )
    calls: ledger.Ledger = attrs.field(factory=ledger.Ledger)
    applied: int = 0
    pending_deltas: list[shared_state.SharedDelta] = attrs.field(factory=list)
    groups: dict[str, mapswitch.GroupDecisions] = attrs.field(factory=dict)
    pending_decisions: list[mapswitch.DecisionCommitted] = attrs.field(
        factory=list
    )
    document: documents.Document = documents.Document()
    pending_documents: list[documents.Document] = attrs.field(factory=list)
    pending_evacuations: list[evacuation.Evacuations] = attrs.field(
        factory=list
    )
    _answers: dict[str, bytes] = attrs.field(factory=dict)
    _commands_applied: int = 0

    def apply(self, index: int, data: bytes) -> Any:
        """Apply one committed command and return its result.

        A command that can't be decoded is rejected. Every
        EXPIRY_INTERVAL_COMMANDS commands expired calls are removed.
        """
        self.applied = index
        self._commands_applied += 1
        if self._commands_applied % EXPIRY_INTERVAL_COMMANDS == 0:
            self.calls.expire()
        try:
            command = commands.CODEC.decode(data)
        except codec.DecodeError as exc:
            return results.Rejected(str(exc))
        return self._apply(command, index)

    def snapshot(self) -> bytes:
        """Return the state in encoded form, for ``from_snapshot``."""
        saved = _SnapshotContent(
            shared=self.shared,
            calls=self.calls,
            answers=list(self._answers.items()),
            applied=self.applied,
            commands_applied=self._commands_applied,
            groups=self.groups,
            document=self.document,
        )
        return msgspec.msgpack.encode(saved, order='deterministic')

    @classmethod
    def from_snapshot(cls, data: bytes) -> 'StateMachine':
        """Return the state that ``snapshot`` has encoded."""
        saved = msgspec.msgpack.decode(data, type=_SnapshotContent)
        return cls(
            shared=saved.shared,
            calls=saved.calls,
            applied=saved.applied,
            answers=dict(saved.answers),
            commands_applied=saved.commands_applied,
            groups=saved.groups,
            document=saved.document,
        )

    @functools.singledispatchmethod
    def _apply(self, command: Any, index: int) -> Any:
        raise TypeError(f'unknown command: {type(command).__name__}')

    @_apply.register
    def _(self, command: commands.ApplyManifest, index: int) -> Any:
        answer = self._answers.get(command.request_id)
        if answer is not None:
            return results.CODEC.decode(answer)
        result = self._apply_manifest(command, index)
        self._remember_answer(command.request_id, result)
        return result

    @_apply.register
    def _(self, command: commands.SetDrain, index: int) -> Any:
        answer = self._answers.get(command.request_id)
        if answer is not None:
            return results.CODEC.decode(answer)
        targets = (command.target,)
        delta = shared_state.SharedDelta(
            index,
            drained=targets if command.draining else (),
            undrained=() if command.draining else targets,
        )
        result = self._apply_delta(delta)
        self._remember_answer(command.request_id, result)
        return result

    @_apply.register
    def _(self, command: commands.OpenCall, index: int) -> Any:
        return self.calls.open(command)

    @_apply.register
    def _(self, command: commands.FindCall, index: int) -> Any:
        return self.calls.find(command)

    @_apply.register
    def _(self, command: commands.CloseCall, index: int) -> Any:
        return self.calls.close(command)

    @_apply.register
    def _(self, command: mapswitch.Decision, index: int) -> Any:
        group = self.groups.setdefault(
            command.group, mapswitch.GroupDecisions()
        )
        accepted = group.apply(command, index)
        self.pending_decisions.append(
            mapswitch.DecisionCommitted(command, index)
        )
        return results.DecisionApplied(accepted, group.standing.decided)

    @_apply.register
    def _(self, command: commands.PutDocument, index: int) -> Any:
        standing = self.document.compare(command.document)
        if standing is documents.Standing.NEWER:
            self.document = command.document
            self.pending_documents.append(command.document)
        return results.DocumentCompared(
            standing, self.document.version, self.shared.evacuations
        )

    @_apply.register
    def _(self, command: evacuation.Order, index: int) -> Any:
        answer = self._answers.get(command.request_id)
        if command.request_id and answer is not None:
            return results.CODEC.decode(answer)
        held = self.shared.evacuations
        standing = held.compare(command)
        if standing is evacuation.Standing.TAKEN:
            taken = held.apply(command, index)
            self._apply_delta(
                shared_state.SharedDelta(index, evacuations=taken)
            )
            self.pending_evacuations.append(taken)
        result = results.EvacuationOrdered(standing, self.shared.evacuations)
        if command.request_id and standing is not (
            evacuation.Standing.SUPERSEDED
        ):
            self._remember_answer(command.request_id, result)
        return result

    def _apply_manifest(
        self, command: commands.ApplyManifest, index: int
    ) -> results.Accepted | results.Conflict | results.Rejected:
        if command.expected_revision != self.shared.revision:
            return results.Conflict(self.shared.revision)
        problem = command.delta.find_problem()
        if problem:
            return results.Rejected(problem)
        return self._apply_delta(
            shared_state.SharedDelta(index, command.delta)
        )

    def pop_deltas(self) -> list[shared_state.SharedDelta]:
        """Return and clear the pending changes of the shared state."""
        deltas = self.pending_deltas
        self.pending_deltas = []
        return deltas

    def pop_decisions(self) -> list[mapswitch.DecisionCommitted]:
        """Return and clear the pending decisions on map switches."""
        decisions = self.pending_decisions
        self.pending_decisions = []
        return decisions

    def pop_documents(self) -> list[documents.Document]:
        """Return and clear the pending configurations."""
        pending = self.pending_documents
        self.pending_documents = []
        return pending

    def pop_evacuations(self) -> list[evacuation.Evacuations]:
        """Return and clear the pending states of evacuations."""
        pending = self.pending_evacuations
        self.pending_evacuations = []
        return pending

    def _apply_delta(
        self, delta: shared_state.SharedDelta
    ) -> results.Accepted:
        self.shared.apply(delta)
        self.pending_deltas.append(delta)
        return results.Accepted(delta.revision)

    def _remember_answer(self, request_id: str, result: Any) -> None:
        self._answers[request_id] = results.CODEC.encode(result)
        while len(self._answers) > REMEMBERED_REQUESTS:
            del self._answers[next(iter(self._answers))]
