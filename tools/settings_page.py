"""Writes docs/SETTINGS.md from the settings classes."""

import pathlib

import attrs

from cassiashift_cli import client
from cassiashift_daemon import settings

PAGE = pathlib.Path(__file__).parents[1] / 'docs' / 'SETTINGS.md'
INTRODUCTION = """# Settings

This page is written by `make settings-page`; change the classes instead.

Each setting is a flag and an environment variable; the flag goes first.
`cassiashiftd ROLE --print-settings` shows each value and where it came from.
A value out of range ends the process at the start with status 2 and a line
that names the flag and the variable. Times are in seconds, sizes in bytes.
"""


def page() -> str:
    """Return the text of the page."""
    shared = [field.name for field in attrs.fields(settings.Settings)]
    parts = [
        INTRODUCTION,
        _section('Both roles', settings.Settings, ()),
        _section('Role entry', settings.EntrySettings, shared),
        _section('Role agent', settings.AgentSettings, shared),
        _client_section(),
    ]
    return '\n'.join(parts)


def _section(title: str, cls: type, excluded: tuple[str, ...]) -> str:
    rows = [
        _row(field)
        for field in attrs.fields(cls)
        if field.name not in excluded
    ]
    return '\n'.join(
        [
            f'## {title}',
            '',
            '| flag | variable | default | range | meaning |',
            '| --- | --- | --- | --- | --- |',
            *rows,
            '',
        ]
    )


def _row(field: attrs.Attribute) -> str:
    low = field.metadata.get('low')
    high = field.metadata.get('high')
    bounds = '' if low is None else f'{low:g} to {high:g}'
    default = f'`{field.default}`' if field.default != '' else ''
    return (
        f'| `{settings.flag(field.name)}` |'
        f' `{settings.variable(field.name)}` | {default} | {bounds} |'
        f' {field.metadata["help"]} |'
    )


def _client_section() -> str:
    rows = []
    for field in attrs.fields(client.ClientSettings):
        parameter = field.type.__metadata__[0]
        default = f'`{field.default}`' if field.default != '' else ''
        rows.append(
            f'| `{settings.flag(field.name)}` | `{parameter.env_var[0]}` |'
            f' {default} | {parameter.help} |'
        )
    return '\n'.join(
        [
            '## Command line',
            '',
            '| flag | variable | default | meaning |',
            '| --- | --- | --- | --- |',
            *rows,
            '',
        ]
    )


if __name__ == '__main__':
    PAGE.write_text(page(), encoding='utf-8')
