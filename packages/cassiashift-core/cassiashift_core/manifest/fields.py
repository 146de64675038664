"""Finds fields of a decoded manifest that its data classes do not have."""

from collections.abc import Iterator
import types
import typing
from typing import Any

import attrs

from cassiashift_core.manifest import model
from cassiashift_core.manifest import problems


def unknown_fields(value: Any) -> list[problems.Problem]:
    """Return a problem for each unknown field, at any depth.

    Args:
        value: the manifest as plain dicts and lists.
    """
    return [
        problems.Problem(problems.format_path(path), 'there is no such field')
        for path in _unknown_paths(value, model.Manifest, ())
    ]


def _unknown_paths(
    value: Any, expected_type: Any, path: tuple[problems.PathStep, ...]
) -> Iterator[tuple[problems.PathStep, ...]]:
    if attrs.has(expected_type) and isinstance(value, dict):
        fields = attrs.fields_dict(expected_type)
        for name, item in value.items():
            if name in fields:
                yield from _unknown_paths(
                    item, fields[name].type, (*path, name)
                )
            else:
                yield (*path, name)
        return
    item_type = _item_type(expected_type)
    if item_type is not None and isinstance(value, list):
        for index, item in enumerate(value):
            yield from _unknown_paths(item, item_type, (*path, index))


def _item_type(expected_type: Any) -> Any:
    """Return the item class of a tuple type if it is a data class."""
    if not isinstance(expected_type, types.GenericAlias):
        return None
    item_type = typing.get_args(expected_type)[0]
    return item_type if attrs.has(item_type) else None
