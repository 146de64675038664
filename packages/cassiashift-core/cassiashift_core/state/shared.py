"""The part of the replicated state that every process has a copy of."""

import attrs
import msgspec

from cassiashift_core import evacuation
from cassiashift_core.manifest import items as manifest_items


def pause_target(group: str) -> str:
    """Return the drain target that pauses the balancing of a group."""
    return f'group/{group}'


@attrs.frozen
class SharedDelta:
    """A change of the shared state; ``revision`` is the one that results.

    Attributes:
        evacuations: the new state of evacuations; None without a change.
    """

    revision: int
    manifest: manifest_items.Delta = manifest_items.Delta()
    drained: tuple[str, ...] = ()
    undrained: tuple[str, ...] = ()
    evacuations: evacuation.Evacuations | None = None

    def encode(self) -> bytes:
        """Return the change in encoded form, for ``decode``."""
        return msgspec.msgpack.encode(self)

    @classmethod
    def decode(cls, data: bytes) -> 'SharedDelta':
        """Return the change that ``encode`` has encoded."""
        return msgspec.msgpack.decode(data, type=cls)


@attrs.define
class SharedState:
    """Manifest, drains and evacuations; every process has a copy.

    Attributes:
        revision: log index of the last change of the shared state.
        items: the items of the current manifest, by key.
        drains: ids of draining upstreams and entries, and the
            ``pause_target`` of each group whose balancing is paused.
        evacuations: the evacuated data centres.
    """

    revision: int = 0
    items: dict[str, bytes] = attrs.field(factory=dict)
    drains: set[str] = attrs.field(factory=set)
    evacuations: evacuation.Evacuations = evacuation.Evacuations()

    def apply(self, delta: SharedDelta) -> None:
        """Apply a change and set its revision."""
        delta.manifest.apply(self.items)
        self.drains.update(delta.drained)
        self.drains.difference_update(delta.undrained)
        if delta.evacuations is not None:
            self.evacuations = delta.evacuations
        self.revision = delta.revision

    def encode(self) -> bytes:
        """Return the state in encoded form, for ``decode``."""
        return msgspec.msgpack.encode(self, order='deterministic')

    @classmethod
    def decode(cls, data: bytes) -> 'SharedState':
        """Return the state that ``encode`` has encoded."""
        return msgspec.msgpack.decode(data, type=cls)
