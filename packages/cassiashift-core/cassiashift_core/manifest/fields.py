"""Finds fields that the data classes of the manifest do not have."""

from collections.abc import Iterator
import types
import typing
from typing import Any

import attrs

from cassiashift_core.manifest import model
from cassiashift_core.manifest import problems


def unknown_fields(value: Any) -> list[problems.Problem]:
    """Return a problem for each unknown field of a decoded manifest."""
    return [
        problems.Problem(problems.path_text(path), 'there is no such field')
        for path in _unknown(value, model.Manifest, ())
    ]


def _unknown(
    value: Any, kind: Any, path: tuple[problems.Step, ...]
) -> Iterator[tuple[problems.Step, ...]]:
    if attrs.has(kind) and isinstance(value, dict):
        known = attrs.fields_dict(kind)
        for name, item in value.items():
            if name in known:
                yield from _unknown(item, known[name].type, (*path, name))
            else:
                yield (*path, name)
        return
    inner = _item_type(kind)
    if inner is not None and isinstance(value, list):
        for index, item in enumerate(value):
            yield from _unknown(item, inner, (*path, index))


def _item_type(kind: Any) -> Any:
    """Return the class of a tuple's items, if it is a data class."""
    if not isinstance(kind, types.GenericAlias):
        return None
    inner = typing.get_args(kind)[0]
    return inner if attrs.has(inner) else None
