"""What differs between two manifests."""

import enum
from typing import Any

import attrs

from cassiashift_core.manifest import model

LISTS = ('models', 'upstreams', 'groups', 'services', 'workspaces')


class ChangeKind(enum.Enum):
    """What happens to one item."""

    ADDED = 'added'
    REMOVED = 'removed'
    CHANGED = 'changed'


@attrs.frozen
class Change:
    """One item that differs.

    Attributes:
        section: the field of the manifest, such as ``upstreams``.
        id: the item's id; empty for a section that is no list of items.
        fields: the item's fields that differ, when it changed.
    """

    kind: ChangeKind
    section: str
    id: str = ''
    fields: tuple[str, ...] = ()


def changes(
    old: model.Manifest | None, new: model.Manifest
) -> tuple[Change, ...]:
    """Return what applying ``new`` over ``old`` changes."""
    found = []
    for section in ('name', 'measures'):
        if old is None or getattr(old, section) != getattr(new, section):
            found.append(Change(ChangeKind.CHANGED, section))
    found.extend(_items('regions', _centres(old), _centres(new)))
    for section in LISTS:
        found.extend(
            _items(section, _by_id(old, section), _by_id(new, section))
        )
    return tuple(found)


def _centres(content: model.Manifest | None) -> dict[str, Any]:
    """Return each data centre as ``REGION/ID``."""
    if content is None:
        return {}
    return {
        f'{region.id}/{centre.id}': centre
        for region in content.regions
        for centre in region.data_centres
    }


def _by_id(content: model.Manifest | None, section: str) -> dict[str, Any]:
    if content is None:
        return {}
    return {item.id: item for item in getattr(content, section)}


def _items(
    section: str, old: dict[str, Any], new: dict[str, Any]
) -> list[Change]:
    removed = [
        Change(ChangeKind.REMOVED, section, item)
        for item in old
        if item not in new
    ]
    added = [
        Change(ChangeKind.ADDED, section, item)
        for item in new
        if item not in old
    ]
    changed = [
        Change(ChangeKind.CHANGED, section, item, _fields(old[item], value))
        for item, value in new.items()
        if item in old and old[item] != value
    ]
    return removed + added + changed


def _fields(old: Any, new: Any) -> tuple[str, ...]:
    return tuple(
        field.name
        for field in attrs.fields(type(new))
        if getattr(old, field.name) != getattr(new, field.name)
    )
