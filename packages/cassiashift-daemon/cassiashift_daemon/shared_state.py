"""The shared state of a process, whose revision never decreases."""

from collections.abc import Callable

import attrs

from cassiashift_core import manifest
from cassiashift_core import state


def keep_all(key: str, data: bytes) -> bool:
    """Return True: every item of the manifest is needed."""
    return True


@attrs.define(eq=False)
class SharedHolder:
    """The shared state in force, and a view of its manifest.

    Attributes:
        keep: returns whether this process needs an item of the manifest.
        confirmed: a quorum of voters has confirmed the state.
        on_change: called after each change.
    """

    keep: Callable[[str, bytes], bool] = keep_all
    on_change: Callable[[], None] = lambda: None
    confirmed: bool = False
    shared: state.SharedState = attrs.field(factory=state.SharedState)
    view: manifest.ManifestView = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the view of the initial, empty state."""
        self.view = manifest.ManifestView(self.shared.items)

    @property
    def revision(self) -> int:
        """Return the revision in force."""
        return self.shared.revision

    @property
    def drains(self) -> set[str]:
        """Return the targets of drains: upstreams, and pauses of groups."""
        return self.shared.drains

    @property
    def evacuated(self) -> frozenset[str]:
        """Return the names of the evacuated data centres."""
        return self.shared.evacuations.evacuated

    def apply_snapshot(self, data: bytes) -> None:
        """Replace the state, unless the snapshot is not newer."""
        shared = state.SharedState.decode(data)
        if shared.revision <= self.revision:
            return
        shared.items = {
            key: item
            for key, item in shared.items.items()
            if self.keep(key, item)
        }
        self.shared = shared
        self.view = manifest.ManifestView(shared.items)
        self.on_change()

    def apply_delta(self, data: bytes) -> None:
        """Apply a change, unless the state has it already.

        An item that changed and is not needed is removed.
        """
        delta = state.SharedDelta.decode(data)
        if delta.revision <= self.revision:
            return
        changed = delta.manifest.changed
        kept = tuple(item for item in changed if self.keep(*item))
        dropped = {key for key, _ in changed} - {key for key, _ in kept}
        kept = manifest.Delta(
            kept, delta.manifest.removed + tuple(sorted(dropped))
        )
        self.view.apply(kept)
        self.shared.apply(attrs.evolve(delta, manifest=manifest.Delta()))
        self.on_change()
