"""Commands that start, end and list evacuations of data centres."""

import time
import uuid

import cyclopts

from cassiashift_cli import client
from cassiashift_cli import output
from cassiashift_cli import statuses
from cassiashift_net import administration

STATUS = statuses.ExitStatus
PATH = '/evacuations'

app = cyclopts.App(
    name='evacuation',
    help='Send nothing more to a data centre, or send to it again.',
)


@app.command
def start(
    data_centre: str,
    *,
    request_id: str = '',
    json: bool = False,
    cfg: client.Client = client.DEFAULT_CLIENT,
) -> int:
    """Give the upstreams of a data centre no new work.

    Requests in progress go on.

    Parameters
    ----------
    data_centre: str
        Name of the data centre, as in the manifest.
    request_id: str
        Id of this change; a fresh one is made if missing.
    json: bool
        Print the result as JSON.
    """
    return _order(cfg, data_centre, request_id, is_start=True, json=json)


@app.command
def end(
    data_centre: str,
    *,
    request_id: str = '',
    json: bool = False,
    cfg: client.Client = client.DEFAULT_CLIENT,
) -> int:
    """Give the upstreams of a data centre work again.

    Parameters
    ----------
    data_centre: str
        Name of the data centre.
    request_id: str
        Id of this change; a fresh one is made if missing.
    json: bool
        Print the result as JSON.
    """
    return _order(cfg, data_centre, request_id, is_start=False, json=json)


@app.command(name='list')
def list_(
    *, json: bool = False, cfg: client.Client = client.DEFAULT_CLIENT
) -> int:
    """Show which data centres are evacuated, since when, and by whom.

    Parameters
    ----------
    json: bool
        Print the result as JSON.
    """

    async def get(
        admin: client.AdminClient,
    ) -> administration.EvacuationList:
        return await admin.get(PATH, administration.EvacuationList)

    answer = client.run(cfg, get)
    if json:
        output.show_json(answer)
        return STATUS.OK
    output.show_table(
        ('DATA CENTRE', 'EVACUATED', 'SINCE', 'OPERATOR', 'IN FLIGHT'),
        [
            (
                row.data_centre,
                row.evacuated,
                _format_time(row.since_s),
                row.operator,
                row.in_flight,
            )
            for row in answer.rows
        ],
    )
    return STATUS.OK


def _order(
    cfg: client.ClientSettings,
    data_centre: str,
    request_id: str,
    *,
    is_start: bool,
    json: bool,
) -> int:
    req = administration.EvacuationRequest(
        request_id or uuid.uuid4().hex, data_centre, is_start
    )

    async def post(admin: client.AdminClient) -> administration.Revision:
        return await admin.post(PATH, administration.Revision, req)

    result = client.run(cfg, post)
    if json:
        output.show_json(
            {
                'data_centre': data_centre,
                'evacuated': is_start,
                'revision': result.revision,
            }
        )
        return STATUS.OK
    verb = 'is evacuated' if is_start else 'is in service'
    output.show(f'{data_centre} {verb} as of revision {result.revision}')
    return STATUS.OK


def _format_time(seconds: float) -> str:
    if not seconds:
        return ''
    return time.strftime('%Y-%m-%dT%H:%M:%SZ', time.gmtime(seconds))
