"""Parses a manifest file into plain values and lists problems by path.

YAML aliases, anchors and tags are refused: generated files need none, and
aliases can expand a small file without bound.
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


class _Mapping(dict):
    """A mapping that records the keys that occurred more than once."""

    repeated_keys: tuple[str, ...] = ()


class _Loader(yaml.CSafeLoader):
    """A YAML loader that leaves dates as text and records repeated keys."""


_Loader.yaml_implicit_resolvers = {
    initial: [
        (tag, pattern)
        for tag, pattern in resolvers
        if tag not in (_TIMESTAMP_TAG, _MERGE_TAG)
    ]
    for initial, resolvers in yaml.CSafeLoader.yaml_implicit_resolvers.items()
}


def _construct_mapping(loader: _Loader, node: yaml.MappingNode) -> _Mapping:
    pairs = [
        (
            _key_text(loader, key_node),
            loader.construct_object(value_node, deep=True),
        )
        for key_node, value_node in node.value
    ]
    return _build_mapping(pairs)


def _key_text(loader: _Loader, node: yaml.Node) -> str:
    if isinstance(node, yaml.ScalarNode):
        return node.value
    raise yaml.constructor.ConstructorError(
        None, None, 'a key is not a text', node.start_mark
    )


_Loader.add_constructor(
    yaml.resolver.BaseResolver.DEFAULT_MAPPING_TAG, _construct_mapping
)


@attrs.frozen
class Document:
    """A parsed file; in ``value`` a placeholder replaces each bad value."""

    value: Any
    problems: tuple[manifest.Problem, ...] = ()

    @classmethod
    def unreadable(cls, message: str) -> 'Document':
        """Return a document without a value and with one problem."""
        return cls(None, (manifest.Problem('', shorten(message)),))


def shorten(text: str) -> str:
    """Return a text as one printable line of bounded length."""
    line = ' '.join(text.split())
    printable = ''.join(
        char if char.isprintable() else '\N{REPLACEMENT CHARACTER}'
        for char in line[:MAX_MESSAGE_CHARACTERS]
    )
    return printable + ('...' if len(line) > MAX_MESSAGE_CHARACTERS else '')


def load(data: bytes) -> Document:
    """Parse a JSON or YAML file; faults are problems of the document."""
    if len(data) > MAX_FILE_BYTES:
        return Document.unreadable(f'larger than {MAX_FILE_BYTES} bytes')
    try:
        text = data.decode('utf-8')
    except UnicodeDecodeError as exc:
        return Document.unreadable(f'not UTF-8 at byte {exc.start}')
    try:
        value = _parse(text)
    except _UnsupportedContent as exc:
        return Document.unreadable(str(exc))
    except (yaml.YAMLError, ValueError) as exc:
        return Document.unreadable(f'not readable: {exc}')
    except RecursionError:
        return Document.unreadable(f'nested deeper than {MAX_DEPTH}')
    problems: list[manifest.Problem] = []
    cleaned = _clean(value, (), problems)
    return Document(cleaned, tuple(problems[:MAX_PROBLEMS]))


class _UnsupportedContent(ValueError):
    """The text has YAML that manifests may not use, or exceeds a bound."""


def _parse(text: str) -> Any:
    if text.lstrip()[:1] in ('{', '['):
        try:
            return json.loads(text, object_pairs_hook=_build_mapping)
        except json.JSONDecodeError:
            # YAML has a flow style that starts with the same characters.
            pass
    _check_yaml_events(text)
    return yaml.load(text, Loader=_Loader)


def _check_yaml_events(text: str) -> None:
    depth = 0
    nodes = 0
    for event in yaml.parse(text, Loader=_Loader):
        line = event.start_mark.line + 1
        if isinstance(event, yaml.AliasEvent):
            raise _UnsupportedContent(
                f'line {line}: aliases are not supported'
            )
        if isinstance(event, yaml.NodeEvent):
            _check_yaml_node(event, line)
            nodes += 1
        if isinstance(event, yaml.CollectionStartEvent):
            depth += 1
        if isinstance(event, yaml.CollectionEndEvent):
            depth -= 1
        if depth > MAX_DEPTH:
            raise _UnsupportedContent(
                f'line {line}: nested deeper than {MAX_DEPTH}'
            )
        if nodes > MAX_YAML_NODES:
            raise _UnsupportedContent(
                f'holds more than {MAX_YAML_NODES} YAML values'
            )


def _check_yaml_node(event: yaml.NodeEvent, line: int) -> None:
    if event.anchor is not None:
        raise _UnsupportedContent(f'line {line}: anchors are not supported')
    if getattr(event, 'tag', None) is not None:
        raise _UnsupportedContent(f'line {line}: tags are not supported')


def _build_mapping(pairs: list[tuple[str, Any]]) -> _Mapping:
    result = _Mapping()
    repeated_keys = []
    for key, value in pairs:
        if key in result:
            repeated_keys.append(key)
        result[key] = value
    result.repeated_keys = tuple(dict.fromkeys(repeated_keys))
    return result


def _clean(
    value: Any,
    path: tuple[manifest.PathStep, ...],
    problems: list[manifest.Problem],
) -> Any:
    """Return plain values; add a problem for what JSON can't hold."""
    if len(path) > MAX_DEPTH:
        _add_problem(problems, path[:4], f'nested deeper than {MAX_DEPTH}')
        return None
    if isinstance(value, dict):
        for key in getattr(value, 'repeated_keys', ()):
            _add_problem(
                problems, (*path, shorten(key)), 'the field occurs twice'
            )
        return {
            key: _clean(item, (*path, key), problems)
            for key, item in value.items()
        }
    if isinstance(value, list):
        return [
            _clean(item, (*path, index), problems)
            for index, item in enumerate(value)
        ]
    return _clean_scalar(value, path, problems)


def _clean_scalar(
    value: Any,
    path: tuple[manifest.PathStep, ...],
    problems: list[manifest.Problem],
) -> Any:
    if isinstance(value, float) and not math.isfinite(value):
        _add_problem(problems, path, 'the number is not finite')
        return 1.0
    if isinstance(value, int) and abs(value) > MAX_INTEGER:
        _add_problem(problems, path, 'the number is too large')
        return 1
    if isinstance(value, str) and not value.isascii():
        try:
            value.encode()
        except UnicodeEncodeError:
            _add_problem(problems, path, 'the text holds a lone surrogate')
            return 'x'
    if value is None or isinstance(value, str | int | float | bool):
        return value
    _add_problem(problems, path, 'the value is neither text nor number')
    return None


def _add_problem(
    problems: list[manifest.Problem],
    path: tuple[manifest.PathStep, ...],
    message: str,
) -> None:
    problems.append(
        manifest.Problem(shorten(manifest.format_path(path)), message)
    )
