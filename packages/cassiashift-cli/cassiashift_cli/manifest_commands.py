"""Commands for manifest files: check, schema, plan and apply."""

import pathlib
from typing import Any
import uuid

import msgspec

from cassiashift_cli import applying
from cassiashift_cli import client
from cassiashift_cli import manifests
from cassiashift_cli import output
from cassiashift_cli import statuses
from cassiashift_core import CassiashiftError
from cassiashift_core import ErrorCode
from cassiashift_core import manifest
from cassiashift_net import administration

STATUS = statuses.ExitStatus


def check(file: pathlib.Path, *, json: bool = False) -> int:
    """Check a manifest file and report every problem with its place.

    Ends with 0 for a manifest that may be applied and with 2 otherwise.

    Parameters
    ----------
    file: pathlib.Path
        The manifest, YAML or JSON.
    json: bool
        Print the result as JSON.
    """
    checked = manifests.read(file)
    if json:
        rows = [
            {'path': item.path, 'message': item.message}
            for item in checked.problems
        ]
        output.show_json({'valid': not rows, 'problems': rows})
    elif checked.problems:
        _show_problems(file, checked)
    else:
        output.show(f'{file}: {_summary(checked.manifest)}')
    return STATUS.BAD_INPUT if checked.problems else STATUS.OK


def schema(*, json: bool = False) -> int:
    """Print the JSON schema of the manifest.

    Parameters
    ----------
    json: bool
        Print it on one line.
    """
    content = msgspec.json.encode(manifest.schema())
    if not json:
        content = msgspec.json.format(content, indent=2)
    output.show(content.decode())
    return STATUS.OK


def plan(
    file: pathlib.Path,
    *,
    json: bool = False,
    cfg: client.Client = client.DEFAULT_CLIENT,
) -> int:
    """Show what applying a manifest would change, and change nothing.

    Parameters
    ----------
    file: pathlib.Path
        The manifest, YAML or JSON.
    json: bool
        Print the result as JSON.
    """
    checked = _read_valid(file)

    async def get_current(
        admin: client.AdminClient,
    ) -> administration.ManifestAnswer:
        return await admin.get('/manifest', administration.ManifestAnswer)

    answer = client.run(cfg, get_current)
    changes = manifest.changes(
        _decode_current(answer.manifest), checked.manifest
    )
    if json:
        output.show_json({'revision': answer.revision, 'changes': changes})
        return STATUS.OK
    for change in changes:
        fields = f' ({", ".join(change.fields)})' if change.fields else ''
        output.show(
            f'{change.kind.value:8} {change.section} {change.id}{fields}'
        )
    output.show(
        f'{len(changes)} changes against revision {answer.revision};'
        f' apply with --expect-revision {answer.revision}'
    )
    return STATUS.OK


def apply(
    file: pathlib.Path,
    *,
    expect_revision: int,
    request_id: str = '',
    json: bool = False,
    cfg: client.Client = client.DEFAULT_CLIENT,
) -> int:
    """Apply a manifest and wait until it is in force everywhere.

    A lost answer is asked for again, at another entry if need be, with the
    same request id: the change is made once. Ends with 3 if another change
    came first; look at it with "plan" and try again.

    Parameters
    ----------
    file: pathlib.Path
        The manifest, YAML or JSON.
    expect_revision: int
        The revision that "plan" or "status" showed.
    request_id: str
        Id of this change; give the same one to repeat a command whose
        outcome is not known. A fresh one is made and shown if missing.
    json: bool
        Print the result as JSON.
    """
    checked = _read_valid(file)
    change_id = request_id or uuid.uuid4().hex
    if not request_id:
        output.show_diagnostic(f'request id {change_id}')

    async def change(admin: client.AdminClient) -> applying.ApplyResult:
        return await applying.apply(
            admin, change_id, expect_revision, checked.encode()
        )

    result = client.run(cfg, change)
    if json:
        output.show_json(result)
    else:
        _show_result(result)
    is_in_force = result.in_force_after_s is not None
    return STATUS.OK if is_in_force else STATUS.NOT_IN_FORCE


def _show_result(result: applying.ApplyResult) -> None:
    if result.in_force_after_s is None:
        output.show(
            f'revision {result.revision} is accepted, not yet in force on'
            f' {len(result.behind)} of {result.hosts} hosts:'
            f' {", ".join(result.behind[:10])}'
        )
    else:
        output.show(
            f'revision {result.revision} is in force on {result.hosts}'
            f' hosts after {result.in_force_after_s:.2f} s'
        )
    for url in result.silent:
        output.show_diagnostic(f'{url} did not answer')


def _read_valid(file: pathlib.Path) -> manifests.CheckedManifest:
    checked = manifests.read(file)
    if checked.problems:
        _show_problems(file, checked)
        raise CassiashiftError(
            ErrorCode.MANIFEST_INVALID,
            f'{file} has {len(checked.problems)} problems',
        )
    return checked


def _show_problems(
    file: pathlib.Path, checked: manifests.CheckedManifest
) -> None:
    for problem in checked.problems:
        output.show_diagnostic(f'{file}: {problem}')


def _decode_current(value: Any) -> manifest.Manifest | None:
    if value is None:
        return None
    try:
        return msgspec.convert(value, type=manifest.Manifest)
    except msgspec.ValidationError as exc:
        raise CassiashiftError(
            ErrorCode.STREAM_BROKEN,
            f'the manifest in force is not understood: {exc}',
        ) from exc


def _summary(content: manifest.Manifest) -> str:
    return (
        f'ok, {len(content.upstreams)} upstreams,'
        f' {len(content.groups)} groups,'
        f' {len(content.services)} services,'
        f' {len(content.workspaces)} workspaces'
    )
