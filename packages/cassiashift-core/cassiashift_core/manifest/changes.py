"""Lists the items in which two manifests differ."""

import enum
from typing import Any

import attrs

from cassiashift_core.manifest import model

ITEM_SECTIONS = ('models', 'upstreams', 'groups', 'services', 'workspaces')


class ChangeKind(enum.Enum):
    """How an item differs between the old and the new manifest."""

    ADDED = 'added'
    REMOVED = 'removed'
    CHANGED = 'changed'


@attrs.frozen
class Change:
    """An item that differs between two manifests.

    Attributes:
        section: the field of the manifest, such as ``upstreams``.
        id: the item's id, with its region for a data centre; empty for a
            section that is not a list of items.
        fields: names of the fields that differ, if the kind is ``CHANGED``.
    """

    kind: ChangeKind
    section: str
    id: str = ''
    fields: tuple[str, ...] = ()


def changes(
    old: model.Manifest | None, new: model.Manifest
) -> tuple[Change, ...]:
    """Return the changes from ``old`` to ``new``.

    If ``old`` is None, every item is added.
    """
    result = []
    for section in ('name', 'measures'):
        if old is None or getattr(old, section) != getattr(new, section):
            result.append(Change(ChangeKind.CHANGED, section))
    result.extend(
        _item_changes('regions', _data_centres(old), _data_centres(new))
    )
    for section in ITEM_SECTIONS:
        result.extend(
            _item_changes(
                section, _items_by_id(old, section), _items_by_id(new, section)
            )
        )
    return tuple(result)


def _data_centres(manifest: model.Manifest | None) -> dict[str, Any]:
    """Return the data centres by ``REGION/ID``."""
    if manifest is None:
        return {}
    return {
        f'{region.id}/{centre.id}': centre
        for region in manifest.regions
        for centre in region.data_centres
    }


def _items_by_id(
    manifest: model.Manifest | None, section: str
) -> dict[str, Any]:
    if manifest is None:
        return {}
    return {item.id: item for item in getattr(manifest, section)}


def _item_changes(
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
        Change(
            ChangeKind.CHANGED,
            section,
            item,
            _changed_fields(old[item], value),
        )
        for item, value in new.items()
        if item in old and old[item] != value
    ]
    return removed + added + changed


def _changed_fields(old: Any, new: Any) -> tuple[str, ...]:
    return tuple(
        field.name
        for field in attrs.fields(type(new))
        if getattr(old, field.name) != getattr(new, field.name)
    )
