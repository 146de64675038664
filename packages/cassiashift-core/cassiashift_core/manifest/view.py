"""Looks up items of a manifest, with an index of workspace keys."""

import functools

import attrs
import msgspec

from cassiashift_core.manifest import items
from cassiashift_core.manifest import model

CACHED_ITEMS = 4096

_decode = functools.lru_cache(CACHED_ITEMS)(items.decode_item)


@attrs.define
class _WorkspaceKeys:
    """The fields of a workspace that the index of keys needs."""

    key_hashes: tuple[str, ...] = ()


@attrs.define(eq=False)
class ManifestView:
    """Looks up items of the manifest without decoding all of them.

    An item is decoded when it is looked up, and the ``CACHED_ITEMS`` most
    recently used ones stay decoded. The time to apply a delta is
    proportional to the number of its items.

    Attributes:
        encoded_items: every item of the manifest by key.
    """

    encoded_items: items.Items = attrs.field(factory=dict)
    _workspace_ids: dict[str, str] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Build the index of workspace keys."""
        for key, data in self.encoded_items.items():
            self._index(key, data)

    @property
    def is_empty(self) -> bool:
        """Whether no manifest has been accepted yet."""
        return items.HEADER_KEY not in self.encoded_items

    def apply(self, delta: items.Delta) -> None:
        """Apply a delta of the manifest and update the index."""
        for key in delta.removed:
            self._unindex(key)
        for key, _ in delta.changed:
            self._unindex(key)
        delta.apply(self.encoded_items)
        for key, data in delta.changed:
            self._index(key, data)

    def header(self) -> items.Header:
        """Return the fields that belong to no section.

        Raises:
            KeyError: the view is empty.
        """
        return _decode(items.HEADER_KEY, self.encoded_items[items.HEADER_KEY])

    def workspace_of_key(self, key_hash: str) -> model.Workspace | None:
        """Return the workspace that owns a key, or None."""
        workspace_id = self._workspace_ids.get(key_hash)
        return (
            None
            if workspace_id is None
            else self._find('workspaces', workspace_id)
        )

    def workspace(self, workspace_id: str) -> model.Workspace | None:
        """Return a workspace, or None if the manifest has none of this id."""
        return self._find('workspaces', workspace_id)

    def upstream(self, upstream_id: str) -> model.Upstream | None:
        """Return an upstream of the manifest, or None."""
        return self._find('upstreams', upstream_id)

    def service(self, service_id: str) -> model.Service | None:
        """Return a plain service, or None."""
        return self._find('services', service_id)

    def group(self, group_id: str) -> model.Group | None:
        """Return a group, or None."""
        return self._find('groups', group_id)

    def data_centres(self) -> set[str]:
        """Return the names of the data centres of all regions."""
        regions = (self._find('regions', id_) for id_ in self.ids('regions'))
        return {item.id for region in regions for item in region.data_centres}

    def ids(self, section: str) -> set[str]:
        """Return the ids of all items in a section."""
        prefix = f'{section}/'
        return {
            key[len(prefix) :]
            for key in self.encoded_items
            if key.startswith(prefix)
        }

    def manifest(self) -> model.Manifest | None:
        """Return the whole manifest decoded, or None if the view is empty."""
        return items.from_items(self.encoded_items)

    def _find(self, section: str, item_id: str):
        key = items.item_key(section, item_id)
        data = self.encoded_items.get(key)
        return None if data is None else _decode(key, data)

    def _index(self, key: str, data: bytes) -> None:
        for key_hash in _key_hashes(key, data):
            self._workspace_ids[key_hash] = key.partition('/')[2]

    def _unindex(self, key: str) -> None:
        data = self.encoded_items.get(key)
        if data is None:
            return
        for key_hash in _key_hashes(key, data):
            self._workspace_ids.pop(key_hash, None)


def _key_hashes(key: str, data: bytes) -> tuple[str, ...]:
    if not key.startswith('workspaces/'):
        return ()
    return msgspec.json.decode(data, type=_WorkspaceKeys).key_hashes
