"""The command ``cassiashift timeline``."""

import asyncio
import pathlib

import msgspec

from cassiashift_cli import client
from cassiashift_cli import output
from cassiashift_cli import statuses
from cassiashift_cli import timeline_page
from cassiashift_core import CassiashiftError
from cassiashift_core import ErrorCode
from cassiashift_core import timeline as core_timeline
from cassiashift_net import administration

MICROSECONDS_PER_SECOND = 1_000_000
STATUS = statuses.ExitStatus


def timeline(
    *files: pathlib.Path,
    request: str = '',
    workspace: str = '',
    group: str = '',
    host: str = '',
    since: float | None = None,
    until: float | None = None,
    json: bool = False,
    html: pathlib.Path | None = None,
    cfg: client.Client = client.DEFAULT_CLIENT,
) -> int:
    """Merge the events of entries and agents in causal order.

    Each entry that is named by --entry adds its own events and those of the
    agents that it watches; name one entry of each data centre, or all.

    Parameters
    ----------
    files: pathlib.Path
        Files of JSON lines to read instead of asking the entries.
    request: str
        Show this request only.
    workspace: str
        Show this workspace only.
    group: str
        Show this group only.
    host: str
        Show this host only.
    since: float
        Show events from this time on, in seconds since 1970.
    until: float
        Show events up to this time, in seconds since 1970.
    json: bool
        Print one JSON object a line.
    html: pathlib.Path
        Write one self-contained page to this file.
    """
    event_filter = core_timeline.Filter(
        request=request,
        workspace=workspace,
        group=group,
        host=host,
        since_us=_microseconds(since),
        until_us=_microseconds(until),
    )
    if files:
        sources, dropped = [_read_events(file) for file in files], 0
    else:
        timelines = client.run(
            cfg, lambda admin: _fetch_timelines(admin, request)
        )
        sources = [answer.events for answer in timelines]
        dropped = sum(answer.dropped for answer in timelines)
    merged = core_timeline.merge(sources, event_filter)
    if html is not None:
        title = f'Time line of {request}' if request else 'Time line'
        _write_page(html, timeline_page.render(merged, title, dropped))
    elif json:
        output.show(core_timeline.as_json_lines(merged).decode().rstrip())
    else:
        output.show(core_timeline.as_text(merged).rstrip())
    if dropped:
        output.show_diagnostic(f'{dropped} events were dropped')
    return STATUS.OK


def _microseconds(seconds: float | None) -> int | None:
    return None if seconds is None else int(seconds * MICROSECONDS_PER_SECOND)


def _read_events(file: pathlib.Path) -> list[core_timeline.Event]:
    try:
        return core_timeline.from_json_lines(file.read_bytes())
    except (OSError, msgspec.DecodeError) as exc:
        raise CassiashiftError(
            ErrorCode.BAD_REQUEST, f'{file}: {exc}'
        ) from exc


def _write_page(file: pathlib.Path, text: str) -> None:
    try:
        file.write_text(text, 'utf-8')
    except OSError as exc:
        raise CassiashiftError(
            ErrorCode.BAD_REQUEST, f'{file}: {exc.strerror}'
        ) from exc
    output.show_diagnostic(f'written to {file}')


async def _fetch_timelines(
    admin: client.AdminClient, request: str
) -> list[administration.Timeline]:
    query = {'request': request} if request else {}
    results = await asyncio.gather(
        *(
            admin.get_from(url, '/timeline', administration.Timeline, **query)
            for url in admin.urls
        ),
        return_exceptions=True,
    )
    timelines = []
    for url, result in zip(admin.urls, results, strict=True):
        if isinstance(result, administration.Timeline):
            timelines.append(result)
        elif isinstance(result, CassiashiftError):
            output.show_diagnostic(f'{url}: {result}')
        else:
            raise result
    if not timelines:
        raise results[0]
    return timelines
