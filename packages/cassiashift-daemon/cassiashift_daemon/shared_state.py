"""The shared state of a process: it rises and never falls."""

from collections.abc import Callable

import attrs
import msgspec

from cassiashift_core.manifest import Manifest
from cassiashift_core import state


@attrs.define
class SharedHolder:
    """The newest shared state that this process has seen.

    Attributes:
        on_change: called after a newer state was taken.
        confirmed: a quorum of voters has vouched for the state.
    """

    shared: state.Shared = attrs.field(factory=state.Shared)
    manifest: Manifest | None = None
    confirmed: bool = False
    on_change: Callable[[], None] = lambda: None

    @property
    def revision(self) -> int:
        """Return the revision in force."""
        return self.shared.revision

    def take(self, shared: state.Shared) -> bool:
        """Put a state in force if it is newer; tell whether it was."""
        if shared.revision <= self.shared.revision:
            return False
        if shared.manifest and shared.manifest != self.shared.manifest:
            self.manifest = msgspec.json.decode(shared.manifest, type=Manifest)
        self.shared = shared
        self.on_change()
        return True
