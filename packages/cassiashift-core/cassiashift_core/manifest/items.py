"""The manifest as separate items, so that a change carries only its items.

An item is one object of a section, as JSON without its default values. Its
key is ``SECTION/ID``. The fields that belong to no section form one item of
their own, the header.
"""

from typing import Any

import attrs
import msgspec

from cassiashift_core.manifest import model

HEADER_KEY = 'header'
SECTIONS: dict[str, type] = {
    'regions': model.Region,
    'models': model.Model,
    'upstreams': model.Upstream,
    'groups': model.Group,
    'services': model.Service,
    'workspaces': model.Workspace,
}

Items = dict[str, bytes]


@attrs.frozen
class Header:
    """The fields of the manifest that belong to no section."""

    name: str
    version: int = model.FORMAT_VERSION
    measures: model.Measures = model.Measures()


@attrs.frozen
class Delta:
    """The difference between two manifests.

    Attributes:
        changed: keys and contents of new and changed items.
        removed: keys of removed items.
    """

    changed: tuple[tuple[str, bytes], ...] = ()
    removed: tuple[str, ...] = ()

    def apply(self, items: Items) -> None:
        """Apply the delta to ``items`` in place."""
        for key in self.removed:
            items.pop(key, None)
        items.update(self.changed)

    def find_problem(self) -> str:
        """Return why the first invalid item is invalid, or an empty string."""
        for key, data in self.changed:
            try:
                decode_item(key, data)
            except (msgspec.DecodeError, KeyError) as exc:
                return f'{key}: {exc}'
        return ''


def item_key(section: str, item_id: str) -> str:
    """Return the key ``SECTION/ID`` of an item."""
    return f'{section}/{item_id}'


def decode_item(key: str, data: bytes) -> Any:
    """Return the decoded object of an item.

    Raises:
        KeyError: there is no such section.
        msgspec.DecodeError: the data does not fit the section.
    """
    if key == HEADER_KEY:
        return msgspec.json.decode(data, type=Header)
    section = key.partition('/')[0]
    return msgspec.json.decode(data, type=SECTIONS[section])


def to_items(manifest: model.Manifest) -> Items:
    """Return the items of a manifest by key."""
    header = Header(manifest.name, manifest.version, manifest.measures)
    items = {HEADER_KEY: _encode(header)}
    for section in SECTIONS:
        for item in getattr(manifest, section):
            items[item_key(section, item.id)] = _encode(item)
    return items


def from_items(items: Items) -> model.Manifest | None:
    """Return the manifest made of items, or None without a header."""
    if HEADER_KEY not in items:
        return None
    sections: dict[str, list] = {section: [] for section in SECTIONS}
    for key in sorted(items):
        if key != HEADER_KEY:
            section = key.partition('/')[0]
            sections[section].append(decode_item(key, items[key]))
    header = decode_item(HEADER_KEY, items[HEADER_KEY])
    return model.Manifest(
        name=header.name,
        version=header.version,
        measures=header.measures,
        **{name: tuple(objects) for name, objects in sections.items()},
    )


def make_delta(old: Items, new: Items) -> Delta:
    """Return the delta that turns the old items into the new ones."""
    changed = tuple(
        (key, data) for key, data in new.items() if old.get(key) != data
    )
    removed = tuple(key for key in old if key not in new)
    return Delta(changed, removed)


def _encode(item: Any) -> bytes:
    set_fields = {
        field.name: getattr(item, field.name)
        for field in attrs.fields(type(item))
        if getattr(item, field.name) != field.default
    }
    return msgspec.json.encode(set_fields, order='deterministic')
