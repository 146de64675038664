"""Generates the JSON schema of the manifest from its data classes."""

from typing import Any

import msgspec

from cassiashift_core.manifest import model

DIALECT = 'https://json-schema.org/draft/2020-12/schema'
TITLE = 'Manifest of cassiashift'


def schema() -> dict[str, Any]:
    """Return the JSON schema, in which no object allows unknown fields."""
    generated = msgspec.json.schema(model.Manifest)
    for definition in generated['$defs'].values():
        if definition.get('type') == 'object':
            definition['additionalProperties'] = False
    return {'$schema': DIALECT, 'title': TITLE, **generated}
