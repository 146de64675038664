"""The part of the state that every process holds."""

import attrs
import msgspec

from cassiashift_core.manifest import items as manifest_items


def pause_target(group: str) -> str:
    """Return what stands for a group whose balancing is paused."""
    return f'group/{group}'


@attrs.frozen
class SharedDelta:
    """One change of the shared state, which leads to ``revision``."""

    revision: int
    manifest: manifest_items.Delta = manifest_items.Delta()
    drained: tuple[str, ...] = ()
    undrained: tuple[str, ...] = ()

    def encode(self) -> bytes:
        """Return the change as bytes."""
        return msgspec.msgpack.encode(self)

    @classmethod
    def decode(cls, data: bytes) -> 'SharedDelta':
        """Return the change that ``encode`` gave as bytes."""
        return msgspec.msgpack.decode(data, type=cls)


@attrs.define
class Shared:
    """The shared state.

    Attributes:
        revision: log index of the last change of configuration.
        items: the manifest in force, by key.
        drains: ids of draining upstreams, and ``pause_target`` of each
            group whose balancing is paused.
    """

    revision: int = 0
    items: dict[str, bytes] = attrs.field(factory=dict)
    drains: set[str] = attrs.field(factory=set)

    def apply(self, delta: SharedDelta) -> None:
        """Apply a change."""
        delta.manifest.apply(self.items)
        self.drains.update(delta.drained)
        self.drains.difference_update(delta.undrained)
        self.revision = delta.revision

    def encode(self) -> bytes:
        """Return the state as bytes."""
        return msgspec.msgpack.encode(self, order='deterministic')

    @classmethod
    def decode(cls, data: bytes) -> 'Shared':
        """Return the state that ``encode`` gave as bytes."""
        return msgspec.msgpack.decode(data, type=cls)
