"""The evacuations in force at one process."""

import enum

import attrs

from cassiashift_core.evacuation import model


class Exchange(enum.Enum):
    """What to do after another process has named its revision."""

    NONE = 'none'
    PULL = 'pull'
    PUSH = 'push'


@attrs.frozen
class Change:
    """What a newer state changed at this process.

    Attributes:
        started: data centres that are evacuated from now on.
        ended: data centres that aren't any more, and those whose whole
            evacuation took place without this process knowing.
    """

    started: tuple[str, ...] = ()
    ended: tuple[str, ...] = ()


@attrs.define
class EvacuationView:
    """The newest committed state that this process has received.

    Attributes:
        is_known: the state comes from a majority of the voters or from a
            process that knew it; before that it says nothing.
    """

    state: model.Evacuations = model.Evacuations()
    is_known: bool = False

    def apply(self, state: model.Evacuations) -> Change | None:
        """Apply a committed state; None if it is not newer."""
        if self.is_known and state.revision <= self.state.revision:
            return None
        old, was_known = self.state, self.is_known
        self.state, self.is_known = state, True
        if not was_known:
            return Change(started=tuple(sorted(state.evacuated)))
        return Change(
            started=tuple(sorted(state.evacuated - old.evacuated)),
            ended=tuple(sorted(_ended(old, state))),
        )

    def choose_exchange(self, revision: int) -> Exchange:
        """Decide after a process with this revision was heard of."""
        if revision > self.state.revision:
            return Exchange.PULL
        if self.is_known and revision < self.state.revision:
            return Exchange.PUSH
        return Exchange.NONE


def _ended(old: model.Evacuations, new: model.Evacuations) -> set[str]:
    """Return the data centres with an end that the old state lacks."""
    before = {name: item.ended for name, item in old.records.items()}
    return {
        name
        for name, item in new.records.items()
        if not item.is_evacuated and item.ended > before.get(name, 0)
    }
