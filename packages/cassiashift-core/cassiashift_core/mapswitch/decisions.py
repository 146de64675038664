"""The decisions of a group's switches, as the replicated log orders them."""

import enum

import attrs

from cassiashift_core.mapswitch import messages


class DecisionKind(enum.Enum):
    """What an entry of the log decides about a version."""

    OPEN = 'open'
    COMMIT = 'commit'
    ABORT = 'abort'


@attrs.frozen
class Decision:
    """An entry of the log.

    Attributes:
        term: the term of the leader that proposed it.
        step: the first step of the version; set for ``COMMIT``.
        ranks: ids of the ranks of the new map; set for ``OPEN``.
        body: the encoded placement; set for ``OPEN``.
        reason: why, in words.
    """

    group: str
    kind: DecisionKind
    version: int
    term: int
    step: int = 0
    ranks: tuple[str, ...] = ()
    body: bytes = b''
    reason: str = ''


@attrs.define
class GroupDecisions:
    """The state that a group's decisions lead to, alike on every host."""

    standing: messages.Standing = messages.Standing()
    opened: Decision | None = None
    opened_index: int = 0

    @property
    def next_version(self) -> int:
        """Return the number that the next switch has to use."""
        return self.standing.decided + 1

    @property
    def base_ranks(self) -> tuple[str, ...]:
        """Return the ranks of the map that is in force."""
        current = self.standing.current
        return current.ranks if current else ()

    @property
    def known_ranks(self) -> set[str]:
        """Return the ranks of the open switch and of the last two maps."""
        found = set(self.base_ranks)
        if self.standing.former is not None:
            found.update(self.standing.former.ranks)
        if self.opened is not None:
            found.update(self.opened.ranks)
        return found

    @property
    def first_free_step(self) -> int:
        """Return the lowest step that a commit may name."""
        current = self.standing.current
        return current.step + 1 if current else 0

    def apply(self, decision: Decision, index: int) -> bool:
        """Apply an entry and tell whether it was accepted."""
        if decision.kind is DecisionKind.OPEN:
            return self._open(decision, index)
        if not self._is_open(decision.version):
            return False
        if decision.kind is DecisionKind.COMMIT:
            return self._commit(decision, index)
        self._close(index, decision.version)
        return True

    def _is_open(self, version: int) -> bool:
        return self.opened is not None and self.opened.version == version

    def _open(self, decision: Decision, index: int) -> bool:
        if self.opened is not None or decision.version != self.next_version:
            return False
        self.opened = decision
        self.opened_index = index
        return True

    def _commit(self, decision: Decision, index: int) -> bool:
        if decision.term != self.opened.term:
            return False
        if decision.step < self.first_free_step:
            return False
        entry = messages.MapEntry(
            version=decision.version,
            step=decision.step,
            ranks=self.opened.ranks,
            body=self.opened.body,
        )
        former = self.standing.current
        self._close(index, decision.version)
        self.standing = attrs.evolve(
            self.standing, current=entry, former=former
        )
        return True

    def _close(self, index: int, version: int) -> None:
        self.opened = None
        self.standing = attrs.evolve(
            self.standing, index=index, decided=version
        )
