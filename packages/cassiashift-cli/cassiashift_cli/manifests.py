"""Reads and checks manifest files."""

import pathlib

import attrs
import msgspec

from cassiashift_cli import documents
from cassiashift_cli import structure
from cassiashift_core import manifest


@attrs.frozen
class CheckedManifest:
    """The result of all checks of a manifest file.

    Attributes:
        manifest: the manifest, or None if it does not match the schema.
        problems: what was found; the manifest is valid if it is empty.
    """

    manifest: manifest.Manifest | None
    problems: tuple[manifest.Problem, ...]

    def encode(self) -> bytes:
        """Return the manifest as compact JSON."""
        return msgspec.json.encode(self.manifest)


def read(path: pathlib.Path) -> CheckedManifest:
    """Read and check a file; one that can't be read is a problem too."""
    try:
        with path.open('rb') as file:
            data = file.read(documents.MAX_FILE_BYTES + 1)
    except (OSError, ValueError) as exc:
        reason = getattr(exc, 'strerror', None) or str(exc)
        problem = manifest.Problem('', f'can not be read: {reason}')
        return CheckedManifest(None, (problem,))
    return check(data)


def check(data: bytes) -> CheckedManifest:
    """Check the content of a file: its syntax, structure and rules."""
    document = documents.load(data)
    if document.value is None and document.problems:
        return CheckedManifest(None, document.problems)
    problems = [*document.problems, *structure.problems(document.value)]
    try:
        content = structure.decode(document.value)
    except msgspec.ValidationError as exc:
        if not problems:
            problems.append(manifest.Problem('', documents.shorten(str(exc))))
        return CheckedManifest(None, tuple(problems))
    problems.extend(manifest.check(content))
    return CheckedManifest(content, tuple(problems[: documents.MAX_PROBLEMS]))
