"""A view of the manifest's items with indexes that follow its changes."""

import functools

import attrs
import msgspec

from cassiashift_core.manifest import items
from cassiashift_core.manifest import model

CACHED_ITEMS = 4096

_decode = functools.lru_cache(CACHED_ITEMS)(items.decode_item)


@attrs.define
class _Keys:
    """The part of a workspace that the index of keys needs."""

    key_hashes: tuple[str, ...] = ()


@attrs.define(eq=False)
class ManifestView:
    """Looks items up without decoding all of them.

    Items are decoded when they are asked for, and the last ones are kept.
    The cost of a change is that of the items it changes.
    """

    content: items.Items = attrs.field(factory=dict)
    _owners: dict[str, str] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Build the index of workspace keys."""
        for key, data in self.content.items():
            self._index(key, data)

    @property
    def is_empty(self) -> bool:
        """Tell whether no manifest was accepted yet."""
        return items.HEADER_KEY not in self.content

    def apply(self, delta: items.Delta) -> None:
        """Follow a change of the manifest."""
        for key in delta.removed:
            self._forget(key)
        for key, _ in delta.changed:
            self._forget(key)
        delta.apply(self.content)
        for key, data in delta.changed:
            self._index(key, data)

    def header(self) -> items.Header:
        """Return the fields that belong to no section."""
        return _decode(items.HEADER_KEY, self.content[items.HEADER_KEY])

    def workspace_of_key(self, key_hash: str) -> model.Workspace | None:
        """Return the workspace that a key's hash belongs to."""
        owner = self._owners.get(key_hash)
        return None if owner is None else self._find('workspaces', owner)

    def workspace(self, workspace_id: str) -> model.Workspace | None:
        """Return a workspace."""
        return self._find('workspaces', workspace_id)

    def upstream(self, upstream_id: str) -> model.Upstream | None:
        """Return an expected upstream."""
        return self._find('upstreams', upstream_id)

    def service(self, service_id: str) -> model.Service | None:
        """Return a plain service."""
        return self._find('services', service_id)

    def group(self, group_id: str) -> model.Group | None:
        """Return a group."""
        return self._find('groups', group_id)

    def ids(self, section: str) -> set[str]:
        """Return the ids of a section's items."""
        prefix = f'{section}/'
        return {
            key[len(prefix) :]
            for key in self.content
            if key.startswith(prefix)
        }

    def manifest(self) -> model.Manifest | None:
        """Return the whole manifest, decoded."""
        return items.from_items(self.content)

    def _find(self, section: str, item_id: str):
        key = items.item_key(section, item_id)
        data = self.content.get(key)
        return None if data is None else _decode(key, data)

    def _index(self, key: str, data: bytes) -> None:
        for key_hash in _key_hashes(key, data):
            self._owners[key_hash] = key.partition('/')[2]

    def _forget(self, key: str) -> None:
        data = self.content.get(key)
        if data is None:
            return
        for key_hash in _key_hashes(key, data):
            self._owners.pop(key_hash, None)


def _key_hashes(key: str, data: bytes) -> tuple[str, ...]:
    if not key.startswith('workspaces/'):
        return ()
    return msgspec.json.decode(data, type=_Keys).key_hashes
