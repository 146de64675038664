"""Reads a manifest file into plain values, with every problem's path.

YAML is read without aliases, anchors and tags: a generated file needs none,
and an alias can grow a small file without bound.
"""

import json
import math
from typing import Any

import attrs
import yaml

from cassiashift_core import manifest

MAX_FILE_BYTES = 16 * 1024 * 1024
MAX_DEPTH = 32
MAX_YAML_NODES = 1_500_000
MAX_PROBLEMS = 1_000
MAX_MESSAGE_CHARACTERS = 200
MAX_INTEGER = 2**53

_TIMESTAMP_TAG = 'tag:yaml.org,2002:timestamp'
_MERGE_TAG = 'tag:yaml.org,2002:merge'


class _Object(dict):
    """A mapping that remembers the keys that stood in it twice."""

    repeated: tuple[str, ...] = ()


class _Loader(yaml.CSafeLoader):
    """Keeps dates as text and repeated keys as problems."""


_Loader.yaml_implicit_resolvers = {
    first: [
        (tag, pattern)
        for tag, pattern in resolvers
        if tag not in (_TIMESTAMP_TAG, _MERGE_TAG)
    ]
    for first, resolvers in yaml.CSafeLoader.yaml_implicit_resolvers.items()
}


def _construct_object(loader: _Loader, node: yaml.MappingNode) -> _Object:
    pairs = [
        (
            _key_text(loader, key_node),
            loader.construct_object(value_node, deep=True),
        )
        for key_node, value_node in node.value
    ]
    return _object(pairs)


def _key_text(loader: _Loader, node: yaml.Node) -> str:
    if isinstance(node, yaml.ScalarNode):
        return node.value
    raise yaml.constructor.ConstructorError(
        None, None, 'a key is not a text', node.start_mark
    )


_Loader.add_constructor(
    yaml.resolver.BaseResolver.DEFAULT_MAPPING_TAG, _construct_object
)


@attrs.frozen
class Document:
    """What a file holds; ``value`` is usable up to the problems."""

    value: Any
    problems: tuple[manifest.Problem, ...] = ()

    @classmethod
    def refused(cls, message: str) -> 'Document':
        """Return a document that can't be read at all."""
        return cls(None, (manifest.Problem('', clipped(message)),))


def clipped(text: str) -> str:
    """Return a text as one line of bounded length."""
    line = ' '.join(text.split())
    printable = ''.join(
        char if char.isprintable() else '\N{REPLACEMENT CHARACTER}'
        for char in line[:MAX_MESSAGE_CHARACTERS]
    )
    return printable + ('...' if len(line) > MAX_MESSAGE_CHARACTERS else '')


def load(data: bytes) -> Document:
    """Return the document in the bytes of a JSON or YAML file."""
    if len(data) > MAX_FILE_BYTES:
        return Document.refused(f'larger than {MAX_FILE_BYTES} bytes')
    try:
        text = data.decode('utf-8')
    except UnicodeDecodeError as exc:
        return Document.refused(f'not UTF-8 at byte {exc.start}')
    try:
        value = _parsed(text)
    except _Refused as exc:
        return Document.refused(str(exc))
    except (yaml.YAMLError, ValueError) as exc:
        return Document.refused(f'not readable: {exc}')
    except RecursionError:
        return Document.refused(f'nested deeper than {MAX_DEPTH}')
    problems: list[manifest.Problem] = []
    cleaned = _cleaned(value, (), problems)
    return Document(cleaned, tuple(problems[:MAX_PROBLEMS]))


class _Refused(ValueError):
    """The text uses something that manifests may not use."""


def _parsed(text: str) -> Any:
    if text.lstrip()[:1] in ('{', '['):
        try:
            return json.loads(text, object_pairs_hook=_object)
        except json.JSONDecodeError:
            # YAML has a flow style that starts with the same characters.
            pass
    _check_events(text)
    return yaml.load(text, Loader=_Loader)


def _check_events(text: str) -> None:
    depth = 0
    nodes = 0
    for event in yaml.parse(text, Loader=_Loader):
        line = event.start_mark.line + 1
        if isinstance(event, yaml.AliasEvent):
            raise _Refused(f'line {line}: aliases are not supported')
        if isinstance(event, yaml.NodeEvent):
            _check_node(event, line)
            nodes += 1
        if isinstance(event, yaml.CollectionStartEvent):
            depth += 1
        if isinstance(event, yaml.CollectionEndEvent):
            depth -= 1
        if depth > MAX_DEPTH:
            raise _Refused(f'line {line}: nested deeper than {MAX_DEPTH}')
        if nodes > MAX_YAML_NODES:
            raise _Refused(f'holds more than {MAX_YAML_NODES} YAML values')


def _check_node(event: yaml.NodeEvent, line: int) -> None:
    if event.anchor is not None:
        raise _Refused(f'line {line}: anchors are not supported')
    if getattr(event, 'tag', None) is not None:
        raise _Refused(f'line {line}: tags are not supported')


def _object(pairs: list[tuple[str, Any]]) -> _Object:
    result = _Object()
    repeated = []
    for key, value in pairs:
        if key in result:
            repeated.append(key)
        result[key] = value
    result.repeated = tuple(dict.fromkeys(repeated))
    return result


def _cleaned(
    value: Any,
    path: tuple[manifest.PathStep, ...],
    problems: list[manifest.Problem],
) -> Any:
    """Return plain values; what JSON can't hold becomes a problem."""
    if len(path) > MAX_DEPTH:
        _add(problems, path[:4], f'nested deeper than {MAX_DEPTH}')
        return None
    if isinstance(value, dict):
        for key in getattr(value, 'repeated', ()):
            _add(problems, (*path, clipped(key)), 'the field stands twice')
        return {
            key: _cleaned(item, (*path, key), problems)
            for key, item in value.items()
        }
    if isinstance(value, list):
        return [
            _cleaned(item, (*path, index), problems)
            for index, item in enumerate(value)
        ]
    return _cleaned_scalar(value, path, problems)


def _cleaned_scalar(
    value: Any,
    path: tuple[manifest.PathStep, ...],
    problems: list[manifest.Problem],
) -> Any:
    if isinstance(value, float) and not math.isfinite(value):
        _add(problems, path, 'the number is not finite')
        return 1.0
    if isinstance(value, int) and abs(value) > MAX_INTEGER:
        _add(problems, path, 'the number is too large')
        return 1
    if isinstance(value, str) and not value.isascii():
        try:
            value.encode()
        except UnicodeEncodeError:
            _add(problems, path, 'the text holds half of a character')
            return 'x'
    if value is None or isinstance(value, str | int | float | bool):
        return value
    _add(problems, path, 'the value is neither text nor number')
    return None


def _add(
    problems: list[manifest.Problem],
    path: tuple[manifest.PathStep, ...],
    message: str,
) -> None:
    problems.append(
        manifest.Problem(clipped(manifest.format_path(path)), message)
    )
