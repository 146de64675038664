"""The command that merges the time lines of the entries."""

import asyncio
import datetime

import attrs

from cassiashift_cli import client
from cassiashift_cli import output
from cassiashift_cli import statuses
from cassiashift_core import CassiashiftError
from cassiashift_net import administration

STATUS = statuses.ExitStatus


@attrs.frozen
class Filter:
    """Which events are wanted; an empty field wants all."""

    request: str = ''
    host: str = ''
    kind: str = ''

    def wants(self, event: administration.TimelineEvent) -> bool:
        """Tell whether an event is wanted."""
        return (
            self.request in ('', event.request)
            and self.host in ('', event.host)
            and self.kind in ('', event.kind)
        )


def timeline(
    *,
    request: str = '',
    host: str = '',
    kind: str = '',
    json: bool = False,
    cfg: client.Client = client.DEFAULT_CLIENT,
) -> int:
    """Merge the events of every entry that is named, oldest first.

    Name all entries with --entry to see all of them. Host clocks that
    differ show as events out of order.

    Parameters
    ----------
    request: str
        Show this request only.
    host: str
        Show this host only.
    kind: str
        Show this kind of event only.
    json: bool
        Print one JSON object a line.
    """
    wanted = Filter(request, host, kind)
    answers = client.run(cfg, lambda admin: _answers(admin, request))
    events = sorted(
        {
            (event.at_s, event.host, index): event
            for answer in answers
            for index, event in enumerate(answer.events)
            if wanted.wants(event)
        }.items(),
        key=lambda item: item[0],
    )
    for _, event in events:
        if json:
            output.show_json(event)
        else:
            output.show(_line(event))
    for answer in answers:
        if answer.dropped:
            output.note(f'{answer.host} dropped {answer.dropped} events')
    return STATUS.OK


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


def _line(event: administration.TimelineEvent) -> str:
    at = datetime.datetime.fromtimestamp(event.at_s, datetime.UTC)
    fields = ' '.join(
        f'{name}={value}' for name, value in sorted(event.fields.items())
    )
    text = (
        f'{at:%H:%M:%S.%f}  {event.host:12} {event.role:6} {event.kind:20}'
        f' {event.request or "-":34} {fields}'
    )
    return ''.join(c if c.isprintable() else '?' for c in text).rstrip()
