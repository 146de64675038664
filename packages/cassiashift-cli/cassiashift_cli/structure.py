"""Checks the structure of a manifest against its JSON schema."""

from collections.abc import Iterable
from collections.abc import Iterator
import functools
import itertools
from typing import Any

import jsonschema
import msgspec

from cassiashift_cli import documents
from cassiashift_core import manifest

_TYPE_NAMES = {
    'array': 'a list',
    'boolean': 'true or false',
    'integer': 'a whole number',
    'null': 'null',
    'number': 'a number',
    'object': 'an object',
    'string': 'a text',
}
_MESSAGES = {
    'enum': 'is none of {limit}',
    'exclusiveMinimum': '{value} is not greater than {limit}',
    'maxLength': 'is longer than {limit} characters',
    'maximum': '{value} is greater than {limit}',
    'minLength': 'is shorter than {limit} characters',
    'minimum': '{value} is less than {limit}',
    'pattern': '{value} does not match {limit}',
}


def problems(value: Any) -> list[manifest.Problem]:
    """Return every violation of the schema, up to a bound."""
    found = itertools.chain.from_iterable(
        _problems(error) for error in _validator().iter_errors(value)
    )
    return list(dict.fromkeys(itertools.islice(found, documents.MAX_PROBLEMS)))


@functools.cache
def _validator() -> jsonschema.Draft202012Validator:
    return jsonschema.Draft202012Validator(manifest.schema())


def decoded(value: Any) -> manifest.Manifest:
    """Return the manifest of a value without problems.

    Raises:
        msgspec.ValidationError: the value is not a manifest.
    """
    return msgspec.convert(value, type=manifest.Manifest)


def _problems(
    error: jsonschema.ValidationError,
) -> Iterator[manifest.Problem]:
    path = list(error.absolute_path)
    match error.validator:
        case 'additionalProperties':
            known = error.schema.get('properties', {})
            for name in error.instance:
                if name not in known:
                    yield _problem([*path, name], 'there is no such field')
        case 'required':
            for name in error.validator_value:
                if name not in error.instance:
                    yield _problem([*path, name], 'the field is missing')
        case 'type':
            yield _problem(path, f'is not {_types(error.validator_value)}')
        case 'anyOf':
            yield _any_of(path, error)
        case _:
            yield _problem(path, _message(error))


def _any_of(
    path: list[manifest.PathStep], error: jsonschema.ValidationError
) -> manifest.Problem:
    """Return the violation of the alternative that came closest."""
    for inner in error.context:
        if inner.validator != 'type':
            return _problem(path, _message(inner))
    wanted = [inner.validator_value for inner in error.context]
    return _problem(path, f'is not {_types(wanted)}')


def _message(error: jsonschema.ValidationError) -> str:
    template = _MESSAGES.get(error.validator)
    if template is None:
        return error.message
    return template.format(
        value=repr(error.instance)[: documents.MAX_MESSAGE_CHARACTERS],
        limit=error.validator_value,
    )


def _types(wanted: str | Iterable[str]) -> str:
    names = [wanted] if isinstance(wanted, str) else wanted
    return ' or '.join(_TYPE_NAMES[name] for name in names)


def _problem(path: list[manifest.PathStep], message: str) -> manifest.Problem:
    return manifest.Problem(
        documents.clipped(manifest.format_path(path)),
        documents.clipped(message),
    )
