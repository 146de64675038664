"""Proposals whose fate is not decided yet."""

from collections.abc import Iterable

import attrs

from cassiashift_core.consensus import effects
from cassiashift_core.consensus import records


@attrs.frozen
class Pending:
    """A proposal that was appended at an index and a term."""

    token: str
    index: int
    term: int


class Proposals:
    """The proposals that this replica appended while it led."""

    def __init__(self, replica) -> None:
        """Work on the state of a replica."""
        self._replica = replica
        self._pending: dict[int, list[Pending]] = {}

    def refusal(self) -> effects.Reason | None:
        """Return why no proposal can be taken now, if so."""
        replica = self._replica
        leading = replica.leading
        if leading is None:
            return effects.Reason.NOT_LEADER
        if leading.is_handing_over:
            return effects.Reason.HANDING_OVER
        waiting = replica.log.last_index - replica.commit_index
        if waiting >= replica.cfg.max_uncommitted_entries:
            return effects.Reason.OVERLOADED
        return None

    def add(self, token: str, index: int, term: int) -> None:
        """Report a proposal as appended, and watch its index."""
        pending = Pending(token, index, term)
        self._pending.setdefault(index, []).append(pending)
        self._replica.outbox.emit(effects.Proposed(token, index, term))

    def settle(self, entries: Iterable[records.Entry]) -> None:
        """Report the proposals that applied entries have replaced."""
        if not self._pending:
            return
        for entry in entries:
            for item in self._pending.pop(entry.index, ()):
                if item.term != entry.term:
                    self._fail(item, effects.Reason.REPLACED)

    def skip(self, index: int) -> None:
        """Report the proposals that a snapshot has overtaken."""
        for passed in [item for item in self._pending if item <= index]:
            for item in self._pending.pop(passed):
                self._fail(item, effects.Reason.UNKNOWN)

    def fail_all(self) -> None:
        """Report all proposals as undecided."""
        self.skip(max(self._pending, default=0))

    def _fail(self, item: Pending, reason: effects.Reason) -> None:
        replica = self._replica
        replica.outbox.emit(
            effects.ProposalFailed(item.token, reason, replica.leader)
        )
