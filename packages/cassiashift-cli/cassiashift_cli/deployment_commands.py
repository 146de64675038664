"""Commands that show a running deployment or drain a part of it."""

import asyncio
import time
from typing import Any
import uuid

from cassiashift_cli import client
from cassiashift_cli import output
from cassiashift_cli import statuses
from cassiashift_core import CassiashiftError
from cassiashift_core import ErrorCode
from cassiashift_net import administration

STATUS = statuses.ExitStatus
POLL_INTERVAL_S = 0.2


def status(
    *, json: bool = False, cfg: client.Client = client.DEFAULT_CLIENT
) -> int:
    """Show the revision in force on each host.

    Parameters
    ----------
    json: bool
        Print the result as JSON.
    """
    answer = _get(cfg, '/status', administration.Status)
    if json:
        output.show_json(answer)
        return STATUS.OK
    output.show(
        f'entry {answer.host} in {answer.data_centre}: revision'
        f' {answer.revision}, {"" if answer.confirmed else "not "}confirmed'
    )
    output.show(
        f'consensus role {answer.role}, leader {answer.leader or "unknown"}'
    )
    output.show(f'draining: {", ".join(answer.drains) or "nothing"}')
    output.show(f'evacuated: {", ".join(answer.evacuations) or "nothing"}')
    output.show_table(('HOST', 'REVISION'), sorted(answer.hosts.items()))
    return STATUS.OK


def upstreams(
    *, json: bool = False, cfg: client.Client = client.DEFAULT_CLIENT
) -> int:
    """Show upstreams: expected, missing, unexpected, draining.

    Parameters
    ----------
    json: bool
        Print the result as JSON.
    """
    answer = _get(cfg, '/upstreams', administration.Upstreams)
    if json:
        output.show_json(answer)
        return STATUS.OK
    header = (
        'UPSTREAM',
        'EXPECTED',
        'ANNOUNCED',
        'HEALTHY',
        'DRAINING',
        'IN FLIGHT',
    )
    rows = [
        (
            row.id,
            row.expected,
            row.announced,
            row.healthy,
            row.draining,
            row.in_flight,
        )
        for row in answer.upstreams
    ]
    output.show_table(header, rows)
    output.show(f'missing: {", ".join(answer.missing) or "none"}')
    output.show(f'unexpected: {", ".join(answer.unexpected) or "none"}')
    return STATUS.OK


def groups(
    *, json: bool = False, cfg: client.Client = client.DEFAULT_CLIENT
) -> int:
    """Show the groups of the manifest in force.

    Parameters
    ----------
    json: bool
        Print the result as JSON.
    """
    answer = _get(cfg, '/groups', administration.Groups)
    if json:
        output.show_json(answer)
        return STATUS.OK
    output.show_table(
        (
            'GROUP',
            'MODEL',
            'DATA CENTRE',
            'RANKS',
            'MAP',
            'SWITCHING',
            'PAUSED',
            'SKEW',
            'LAST DECISION',
        ),
        [
            (
                row.id,
                row.model,
                row.data_centre,
                row.ranks,
                row.version,
                row.reason,
                row.paused,
                row.skew,
                row.decision,
            )
            for row in answer.groups
        ],
    )
    return STATUS.OK


def drain(
    target: str,
    *,
    undo: bool = False,
    wait: bool = False,
    request_id: str = '',
    json: bool = False,
    cfg: client.Client = client.DEFAULT_CLIENT,
) -> int:
    """Give an upstream no new work; requests in progress go on.

    The target group/GROUP pauses the balancing of a group instead.

    Parameters
    ----------
    target: str
        Id of the upstream.
    undo: bool
        Give the upstream work again.
    wait: bool
        Wait until the upstream has no request in progress.
    request_id: str
        Id of this change; a fresh one is made if missing.
    json: bool
        Print the result as JSON.
    """
    req = administration.DrainRequest(
        request_id or uuid.uuid4().hex, target, not undo
    )

    async def change(admin: client.AdminClient) -> administration.Revision:
        result = await admin.post('/drains', administration.Revision, req)
        if wait and not undo:
            await _wait_until_idle(admin, target)
        return result

    result = client.run(cfg, change)
    if json:
        output.show_json(
            {
                'target': target,
                'draining': not undo,
                'revision': result.revision,
            }
        )
        return STATUS.OK
    verb = 'is in service' if undo else 'is draining'
    output.show(f'{target} {verb} as of revision {result.revision}')
    return STATUS.OK


async def _wait_until_idle(admin: client.AdminClient, target: str) -> None:
    deadline = time.monotonic() + admin.timeout_s
    while True:
        answer = await admin.get('/upstreams', administration.Upstreams)
        row = next((x for x in answer.upstreams if x.id == target), None)
        if row is None or (row.draining and row.in_flight == 0):
            return
        admin.progress.update(f'{row.in_flight} requests in progress')
        if time.monotonic() + POLL_INTERVAL_S > deadline:
            raise CassiashiftError(
                ErrorCode.DEADLINE_EXCEEDED,
                f'{target} still has {row.in_flight} requests in progress',
            )
        await asyncio.sleep(POLL_INTERVAL_S)


def _get(cfg: client.ClientSettings, path: str, cls: type) -> Any:
    async def get(admin: client.AdminClient) -> Any:
        return await admin.get(path, cls)

    return client.run(cfg, get)
