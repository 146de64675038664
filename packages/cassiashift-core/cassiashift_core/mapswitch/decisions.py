"""Log entries of a group's map switches and the state they lead to."""

import enum

import attrs

from cassiashift_core.mapswitch import messages


class DecisionKind(enum.Enum):
    """Whether a log entry opens, commits or aborts a version."""

    OPEN = 'open'
    COMMIT = 'commit'
    ABORT = 'abort'


@attrs.frozen
class Decision:
    """A log entry about one version of a group's map.

    Attributes:
        term: term of the leader that proposed the entry.
        step: first step that runs on the version; set for ``COMMIT``.
        ranks: ids of the ranks of the new map; set for ``OPEN``.
        body: encoded expert map; set for ``OPEN``.
        reason: cause of the switch or of the abort, for operators.
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
    """State of a group's switches, the same on every host at an index.

    Attributes:
        standing: outcome of the decided switches.
        opened: log entry of the switch without an outcome, if any.
        opened_index: log index of the last entry that opened a switch.
    """

    standing: messages.Standing = messages.Standing()
    opened: Decision | None = None
    opened_index: int = 0

    @property
    def next_version(self) -> int:
        """Version number that the next switch must have."""
        return self.standing.decided + 1

    @property
    def current_ranks(self) -> tuple[str, ...]:
        """Ranks of the current map; none before the first commit."""
        current = self.standing.current
        return current.ranks if current else ()

    @property
    def known_ranks(self) -> set[str]:
        """Ranks of the open switch and of the last two committed maps."""
        known = set(self.current_ranks)
        if self.standing.former is not None:
            known.update(self.standing.former.ranks)
        if self.opened is not None:
            known.update(self.opened.ranks)
        return known

    @property
    def min_commit_step(self) -> int:
        """Lowest step at which a commit may activate a map."""
        current = self.standing.current
        return current.step + 1 if current else 0

    def apply(self, decision: Decision, index: int) -> bool:
        """Apply a log entry and return whether it was accepted.

        An opening is rejected while another switch is open or if its version
        is not the next one; an outcome, if its version is not open; a commit
        also if its term is not the opening's or its step is too low.
        """
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
        if decision.step < self.min_commit_step:
            return False
        entry = messages.MapEntry(
            version=decision.version,
            step=decision.step,
            ranks=self.opened.ranks,
            body=self.opened.body,
        )
        previous = self.standing.current
        self._close(index, decision.version)
        self.standing = attrs.evolve(
            self.standing, current=entry, former=previous
        )
        return True

    def _close(self, index: int, version: int) -> None:
        self.opened = None
        self.standing = attrs.evolve(
            self.standing, index=index, decided=version
        )
