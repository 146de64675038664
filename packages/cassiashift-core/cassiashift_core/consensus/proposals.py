"""Proposals that are appended but not yet committed or replaced."""

from collections.abc import Iterable

import attrs

from cassiashift_core.consensus import effects
from cassiashift_core.consensus import records


@attrs.frozen
class PendingProposal:
    """A proposal and the index and term of its log entry."""

    token: str
    index: int
    term: int


class Proposals:
    """The pending proposals that this replica appended as leader."""

    def __init__(self, replica) -> None:
        """Work on the state of a replica."""
        self._replica = replica
        self._pending: dict[int, list[PendingProposal]] = {}

    def refusal_reason(self) -> effects.FailureReason | None:
        """Return why a proposal must be refused now, or None."""
        replica = self._replica
        leadership = replica.leadership
        if leadership is None:
            return effects.FailureReason.NOT_LEADER
        if leadership.is_handing_over:
            return effects.FailureReason.HANDING_OVER
        waiting = replica.log.last_index - replica.commit_index
        if waiting >= replica.cfg.max_uncommitted_entries:
            return effects.FailureReason.OVERLOADED
        return None

    def track(self, token: str, index: int, term: int) -> None:
        """Emit ProposalAppended; track the proposal until it is resolved."""
        pending = PendingProposal(token, index, term)
        self._pending.setdefault(index, []).append(pending)
        self._replica.outbox.emit(effects.ProposalAppended(token, index, term))

    def resolve(self, entries: Iterable[records.Entry]) -> None:
        """Resolve the proposals at the indexes of applied entries.

        One whose term differs was replaced and fails with REPLACED.
        """
        if not self._pending:
            return
        for entry in entries:
            for item in self._pending.pop(entry.index, ()):
                if item.term != entry.term:
                    self._fail(item, effects.FailureReason.REPLACED)

    def fail_up_to(self, index: int) -> None:
        """Fail the proposals up to ``index`` with UNKNOWN.

        A snapshot that covers them does not show which were committed.
        """
        for covered in [item for item in self._pending if item <= index]:
            for item in self._pending.pop(covered):
                self._fail(item, effects.FailureReason.UNKNOWN)

    def fail_all(self) -> None:
        """Fail all pending proposals with UNKNOWN."""
        self.fail_up_to(max(self._pending, default=0))

    def _fail(
        self, item: PendingProposal, reason: effects.FailureReason
    ) -> None:
        replica = self._replica
        replica.outbox.emit(
            effects.ProposalFailed(item.token, reason, replica.leader)
        )
