"""The command ``cassiashift explain``."""

import asyncio
import json as jsons
import pathlib
from typing import Annotated
from typing import Any

import aiohttp
import cyclopts

from cassiashift_cli import client
from cassiashift_cli import output
from cassiashift_cli import statuses
from cassiashift_core import CassiashiftError
from cassiashift_core import ErrorCode
from cassiashift_core import placing
from cassiashift_net import explanations

STATUS = statuses.ExitStatus
DEFAULT_TIMEOUT_S = 5.0
DEFAULT_ROWS = 20
# Terms of the cost in the table; those that are 0 everywhere are left out.
TERMS = (
    'own',
    'others',
    'added',
    'prompts',
    'failures',
    'distance',
    'extra',
)

Answers = dict[str, explanations.Answer]


def explain(
    *,
    entry: Annotated[list[str], cyclopts.Parameter(negative='')],
    file: pathlib.Path | None = None,
    host: str | None = None,
    path: str | None = None,
    workspace: str | None = None,
    model: str | None = None,
    prompt_tokens: int | None = None,
    output_tokens: int | None = None,
    length_hint: int | None = None,
    deadline_ms: float | None = None,
    rows: int = DEFAULT_ROWS,
    timeout_s: float = DEFAULT_TIMEOUT_S,
    json: bool = False,
) -> int:
    """Show where a request would go now, and why, without sending it.

    Nothing is changed by it. Only entries that call upstreams directly
    answer; those that call through agents do not.

    Parameters
    ----------
    entry: list[str]
        Address of the control listener of an entry, as HOST:PORT or URL.
        Give it several times to compare entries.
    file: pathlib.Path
        JSON file with the request; flags override its fields.
    host: str
        Host name that the request names.
    path: str
        Path of the request.
    workspace: str
        Name of the caller's workspace; not its key.
    model: str
        Service of the model, if the route leads to several.
    prompt_tokens: int
        Tokens of the prompt.
    output_tokens: int
        The most output tokens that the caller allows.
    length_hint: int
        The caller's estimate of the output tokens.
    deadline_ms: float
        Milliseconds that the caller waits.
    rows: int
        Upstreams shown of each entry; JSON has all.
    timeout_s: float
        Seconds to wait for each entry.
    json: bool
        Print the answers as JSON.
    """
    fields = {} if file is None else _read_fields(file)
    flags = {
        'host': host,
        'path': path,
        'workspace': workspace,
        'model': model,
        'promptTokens': prompt_tokens,
        'outputTokens': output_tokens,
        'lengthHint': length_hint,
        'deadlineMs': deadline_ms,
    }
    fields |= {name: flag for name, flag in flags.items() if flag is not None}
    req = explanations.decode(jsons.dumps(fields).encode())
    if rows < 1 or not 0 < timeout_s <= client.MAX_TIMEOUT_S:
        raise _bad_input('--rows or --timeout-s: is out of range')
    results = asyncio.run(_ask(_urls(entry), req, timeout_s))
    answers = {
        url: result
        for url, result in results.items()
        if isinstance(result, explanations.Answer)
    }
    if not answers:
        raise next(iter(results.values()))
    failed = {url: results[url] for url in results if url not in answers}
    _show(answers, rows, json)
    for exc in failed.values():
        output.show_error(exc, as_json=False)
    codes = [exc.code for exc in failed.values()]
    return statuses.for_error_code(codes[0]) if codes else STATUS.OK


def differences(answers: Answers) -> list[tuple[str, tuple[Any, ...]]]:
    """Return what entries see differently: names and values by entry.

    Costs and ages differ between any two entries and are left out.
    """
    views = [_view(answer) for answer in answers.values()]
    names = dict.fromkeys(name for view in views for name in view)
    found = []
    for name in names:
        values = tuple(view.get(name) for view in views)
        if any(value != values[0] for value in values):
            found.append((name, values))
    return found


def _view(answer: explanations.Answer) -> dict[str, Any]:
    """Return what entries with the same knowledge agree on."""
    explained = answer.explanation
    view = {
        'configuration': answer.configuration,
        'evacuated': ', '.join(answer.evacuated),
        'route': answer.route,
        'service': answer.service,
        'outcome': explained.admittance.outcome.value,
        'reason': explained.admittance.reason,
        'chosen': explained.chosen,
        'limit': explained.limit,
    }
    for row in explained.rows:
        view[f'{row.upstream}: excluded'] = row.exclusion or 'no'
        view[f'{row.upstream}: in flight'] = (
            row.in_flight + row.others_in_flight
        )
    for left_out in answer.left_out:
        view[f'{left_out.upstream}: excluded'] = left_out.reason
    return view


async def _ask(
    urls: list[str], req: explanations.Request, timeout_s: float
) -> dict[str, explanations.Answer | CassiashiftError]:
    """Return the answer or the error of each entry."""
    async with aiohttp.ClientSession() as session:
        admin = client.AdminClient(tuple(urls), '', timeout_s, session)
        results = await asyncio.gather(
            *(
                admin.post_to(url, explanations.PATH, explanations.Answer, req)
                for url in urls
            ),
            return_exceptions=True,
        )
    for result in results:
        if isinstance(result, BaseException) and not isinstance(
            result, CassiashiftError
        ):
            raise result
    return dict(zip(urls, results, strict=True))


def _read_fields(file: pathlib.Path) -> dict[str, Any]:
    try:
        fields = jsons.loads(file.read_text(encoding='utf-8'))
    except (OSError, ValueError, RecursionError) as exc:
        raise _bad_input(f'--file: {exc}') from exc
    if not isinstance(fields, dict):
        raise _bad_input('--file: is no JSON object')
    return fields


def _urls(entries: list[str]) -> list[str]:
    """Return the URLs of entries without repeats."""
    urls = []
    for entry in entries:
        url = entry if '://' in entry else f'http://{entry}'
        try:
            urls += client.ClientSettings(entry=url).entry_urls()
        except CassiashiftError:
            raise _bad_input(f'--entry: {entry!r} is no address') from None
    return list(dict.fromkeys(urls))


def _bad_input(message: str) -> CassiashiftError:
    return CassiashiftError(ErrorCode.BAD_REQUEST, message)


def _show(answers: Answers, rows: int, as_json: bool) -> None:
    found = differences(answers)
    if as_json:
        output.show_json(
            {
                'entries': answers,
                'differences': [
                    {'field': name, 'values': values} for name, values in found
                ],
            }
        )
        return
    for answer in answers.values():
        _show_answer(answer, rows)
        output.show('')
    if len(answers) < 2:
        return
    output.show(f'differences between entries: {len(found) or "none"}')
    if found:
        header = ('FIELD', *(answer.entry for answer in answers.values()))
        output.show_table(
            header, [(name, *values) for name, values in found[:rows]]
        )


def _show_answer(answer: explanations.Answer, rows: int) -> None:
    explained = answer.explanation
    output.show(
        f'entry {answer.entry} in {answer.data_centre}: configuration'
        f' {answer.configuration}, {answer.configuration_age_s:.0f} s in force'
    )
    output.show(
        f'route {answer.route}, service {answer.service}, workspace'
        f' {answer.workspace or "-"}, priority {answer.priority}'
    )
    output.show(f'evacuated: {", ".join(answer.evacuated) or "nothing"}')
    output.show(
        f'expected: {explained.prompt_tokens:.0f} prompt tokens,'
        f' {explained.output_tokens:.0f} output tokens,'
        f' {explained.expected_s:.3f} s'
    )
    output.show(_describe_outcome(answer))
    output.show(
        f'costs in {explained.unit}; up to {explained.limit:g} requests in'
        ' flight at an upstream'
    )
    if explained.is_sampled:
        output.show('chosen from a sample of the upstreams')
    _show_rows(answer, rows)


def _describe_outcome(answer: explanations.Answer) -> str:
    explained = answer.explanation
    admittance = explained.admittance
    text = f'outcome: {admittance.outcome.value}'
    if admittance.reason:
        text += f', {admittance.reason}'
    if admittance.wait_s is not None:
        text += f', expected wait {admittance.wait_s:.3f} s'
    if admittance.retry_after_s is not None:
        text += f', Retry-After {admittance.retry_after_s:.2f}'
    if not explained.chosen:
        return f'{text}; no upstream could take it now'
    if admittance.outcome is placing.Outcome.SENT:
        return f'{text} to {explained.chosen}'
    return f'{text}; chosen if it were sent now: {explained.chosen}'


def _show_rows(answer: explanations.Answer, rows: int) -> None:
    shown = answer.explanation.rows[:rows]
    terms = [
        name for name in TERMS if any(row.terms.get(name) for row in shown)
    ]
    has_slow = any(row.slowdown > 1 for row in shown)
    table = [
        (
            row.upstream,
            row.data_centre,
            row.exclusion or row.role.value,
            f'{row.cost:.4g}',
            *(f'{row.terms.get(name, 0.0):.4g}' for name in terms),
            f'{row.in_flight}+{row.others_in_flight}',
            _format_age(row.work_age_s),
            _format_age(row.announced_age_s),
            *((_format_slowdown(row),) if has_slow else ()),
        )
        for row in shown
    ]
    left = answer.left_out[: rows - len(shown)]
    table += [
        (
            item.upstream,
            item.data_centre,
            item.reason,
            *('-' for _ in ('cost', *terms, 'in flight', 'work age')),
            _format_age(item.announced_age_s),
            *(('-',) if has_slow else ()),
        )
        for item in left
    ]
    header = (
        'UPSTREAM',
        'DATA CENTRE',
        'ROLE',
        'COST',
        *(name.upper() for name in terms),
        'IN FLIGHT',
        'WORK AGE',
        'ANNOUNCED',
        *(('SLOWDOWN',) if has_slow else ()),
    )
    output.show_table(header, table)
    count = len(answer.explanation.rows) + len(answer.left_out)
    if count > len(table):
        output.show(f'{count - len(table)} more; see --rows')


def _format_slowdown(row: placing.Row) -> str:
    """Return how much slower an upstream is, and the age of the report."""
    if row.slowdown <= 1:
        return '-'
    return f'{row.slowdown:.2f}, {_format_age(row.slowdown_age_s)}'


def _format_age(age_s: float | None) -> str | None:
    return None if age_s is None else f'{age_s:.2f} s'
