"""The command that merges the time lines of all processes."""

import asyncio
import datetime
import pathlib

import attrs
import msgspec

from cassiashift_cli import client
from cassiashift_cli import output
from cassiashift_cli import statuses
from cassiashift_cli import timeline_page
from cassiashift_core import CassiashiftError
from cassiashift_core import ErrorCode
from cassiashift_core import timeline as events
from cassiashift_net import administration

STATUS = statuses.ExitStatus
MICROSECONDS_PER_S = 1_000_000
MAX_FILE_BYTES = 256 * 1024 * 1024


@attrs.define
class _Gathered:
    """Events of several sources, and how many the sources dropped."""

    sources: list[list[events.Event]] = attrs.field(factory=list)
    dropped: int = 0


def timeline(
    *,
    request: str = '',
    workspace: str = '',
    group: str = '',
    host: str = '',
    since: datetime.datetime | None = None,
    until: datetime.datetime | None = None,
    file: tuple[pathlib.Path, ...] = (),
    html: pathlib.Path | None = None,
    json: bool = False,
    cfg: client.Client = client.DEFAULT_CLIENT,
) -> int:
    """Merge the events of all processes in causal order.

    Each entry that --entry names adds its own events and those of the
    agents that it watches. With --file nothing is asked.

    Parameters
    ----------
    request: str
        Show this request only.
    workspace: str
        Show this workspace only.
    group: str
        Show this group only.
    host: str
        Show this host only.
    since: datetime
        Show nothing before this time, UTC.
    until: datetime
        Show nothing after this time, UTC.
    file: tuple
        Read JSON lines from this file instead; may be given again.
    html: pathlib.Path
        Write one self-contained page to this file.
    json: bool
        Print one JSON object a line.
    """
    chosen = events.Filter(
        request,
        workspace,
        group,
        host,
        _microseconds(since),
        _microseconds(until),
    )
    gathered = _from_files(file) if file else _from_entries(cfg, request)
    merged = events.merge(gathered.sources, chosen)
    if html is not None:
        _write_page(html, merged, gathered.dropped)
    elif json:
        output.show(events.as_json_lines(merged).decode().rstrip('\n'))
    else:
        output.show(events.as_text(merged).rstrip('\n'))
    if gathered.dropped:
        output.note(f'{gathered.dropped} events were dropped before')
    return STATUS.OK


def _microseconds(moment: datetime.datetime | None) -> int | None:
    if moment is None:
        return None
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=datetime.UTC)
    return round(moment.timestamp() * MICROSECONDS_PER_S)


def _from_files(paths: tuple[pathlib.Path, ...]) -> _Gathered:
    gathered = _Gathered()
    for path in paths:
        try:
            with path.open('rb') as file:
                data = file.read(MAX_FILE_BYTES)
            gathered.sources.append(events.from_json_lines(data))
        except (OSError, ValueError, msgspec.DecodeError) as exc:
            raise CassiashiftError(
                ErrorCode.BAD_REQUEST, f'{path}: {exc}'
            ) from exc
    return gathered


def _from_entries(cfg: client.ClientSettings, request: str) -> _Gathered:
    answers = client.run(cfg, lambda admin: _answers(admin, request))
    return _Gathered(
        [list(answer.events) for answer in answers],
        sum(answer.dropped for answer in answers),
    )


async def _answers(
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
    answers = []
    for url, result in zip(admin.urls, results, strict=True):
        if isinstance(result, administration.Timeline):
            answers.append(result)
        elif isinstance(result, CassiashiftError):
            output.note(f'{url}: {result}')
        else:
            raise result
    if not answers:
        raise results[0]
    return answers


def _write_page(
    path: pathlib.Path, merged: list[events.Event], dropped: int
) -> None:
    text = timeline_page.page(merged, 'Time line of cassiashift', dropped)
    try:
        path.write_text(text, encoding='utf-8')
    except OSError as exc:
        raise CassiashiftError(
            ErrorCode.BAD_REQUEST, f'{path}: {exc.strerror}'
        ) from exc
    output.note(f'{len(merged)} events written to {path}')
