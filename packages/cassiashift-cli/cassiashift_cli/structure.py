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
    """Return the schema violations, at most ``MAX_PROBLEMS``."""
    violations = itertools.chain.from_iterable(
        _describe_error(error) for error in _validator().iter_errors(value)
    )
    return list(
        dict.fromkeys(itertools.islice(violations, documents.MAX_PROBLEMS))
    )


@functools.cache
def _validator() -> jsonschema.Draft202012Validator:
    return jsonschema.Draft202012Validator(manifest.schema())


def decode(value: Any) -> manifest.Manifest:
    """Convert a plain value to a manifest.

    Raises:
        msgspec.ValidationError: the value is not a manifest.
    """
    return msgspec.convert(value, type=manifest.Manifest)


def _describe_error(
    error: jsonschema.ValidationError,
) -> Iterator[manifest.Problem]:
    path = list(error.absolute_path)
    match error.validator:
        case 'additionalProperties':
            properties = error.schema.get('properties', {})
            for name in error.instance:
                if name not in properties:
                    yield _shortened_problem(
                        [*path, name], 'there is no such field'
                    )
        case 'required':
            for name in error.validator_value:
                if name not in error.instance:
                    yield _shortened_problem(
                        [*path, name], 'the field is missing'
                    )
        case 'type':
            yield _shortened_problem(
                path, f'is not {_join_type_names(error.validator_value)}'
            )
        case 'anyOf':
            yield _closest_alternative(path, error)
        case _:
            yield _shortened_problem(path, _format_message(error))


def _closest_alternative(
    path: list[manifest.PathStep], error: jsonschema.ValidationError
) -> manifest.Problem:
    """Return the violation of the first alternative of the right type."""
    for inner in error.context:
        if inner.validator != 'type':
            return _shortened_problem(path, _format_message(inner))
    type_names = [inner.validator_value for inner in error.context]
    return _shortened_problem(path, f'is not {_join_type_names(type_names)}')


def _format_message(error: jsonschema.ValidationError) -> str:
    template = _MESSAGES.get(error.validator)
    if template is None:
        return error.message
    return template.format(
        value=repr(error.instance)[: documents.MAX_MESSAGE_CHARACTERS],
        limit=error.validator_value,
    )


def _join_type_names(type_names: str | Iterable[str]) -> str:
    names = [type_names] if isinstance(type_names, str) else type_names
    return ' or '.join(_TYPE_NAMES[name] for name in names)


def _shortened_problem(
    path: list[manifest.PathStep], message: str
) -> manifest.Problem:
    return manifest.Problem(
        documents.shorten(manifest.format_path(path)),
        documents.shorten(message),
    )
