"""Reads and checks manifest files."""

import pathlib

import attrs
import msgspec

from cassiashift_cli import documents
from cassiashift_cli import structure
from cassiashift_core import manifest


@attrs.frozen
class Checked:
    """A manifest file after all checks.

    Attributes:
        manifest: the manifest, or None when its structure is wrong.
        problems: every problem; a manifest without any may be applied.
    """

    manifest: manifest.Manifest | None
    problems: tuple[manifest.Problem, ...]

    def encoded(self) -> bytes:
        """Return the manifest as compact JSON."""
        return msgspec.json.encode(self.manifest)


def read(path: pathlib.Path) -> Checked:
    """Return a file's manifest and its problems."""
    try:
        with path.open('rb') as file:
            data = file.read(documents.MAX_FILE_BYTES + 1)
    except (OSError, ValueError) as exc:
        reason = getattr(exc, 'strerror', None) or str(exc)
        problem = manifest.Problem('', f'can not be read: {reason}')
        return Checked(None, (problem,))
    return check(data)


def check(data: bytes) -> Checked:
    """Return the manifest in a file's bytes and its problems."""
    document = documents.load(data)
    if document.value is None and document.problems:
        return Checked(None, document.problems)
    found = [*document.problems, *structure.problems(document.value)]
    try:
        content = structure.decoded(document.value)
    except msgspec.ValidationError as exc:
        if not found:
            found.append(manifest.Problem('', documents.clipped(str(exc))))
        return Checked(None, tuple(found))
    found.extend(manifest.check(content))
    return Checked(content, tuple(found[: documents.MAX_PROBLEMS]))
