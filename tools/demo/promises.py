"""Checks of what must have held during the demonstration."""

import attrs
from hdrh import histogram

from tools.demo import load
from tools.standins import records

MICROSECONDS = 1_000_000
MAX_CALL_US = 60 * MICROSECONDS
IN_FORCE_BOUND_S = 4.0


@attrs.define
class Findings:
    """The table's figures and the broken promises in words."""

    rows: list[tuple[str, str]]
    broken: list[str]


def examine(
    done: list[load.Done], record: records.Record, in_force_s: float
) -> Findings:
    """Return what a load's answers and the stand-ins' records show."""
    bookings = [item for item in done if item.kind == load.CONFIRMATION]
    twice = [name for name, count in record.booked.items() if count > 1]
    rows = [('calls', str(len(done)))]
    rows += [(f'  {kind}s', _count_kind(done, kind)) for kind in load.SHARES]
    rows += [
        ('answered once and whole', str(sum(map(_is_whole, done)))),
        ('not run', _count_verdict(done, 'not_run')),
        ('may have run', _count_verdict(done, 'may_have_run')),
        ('booked twice', str(len(twice))),
    ]
    rows += _latency_rows(done)
    rows.append(('manifest in force', f'{in_force_s:.2f} s'))
    broken = [f'booked twice: {name}' for name in twice]
    broken += _broken_answers(done)
    broken += _broken_bookings(bookings, record)
    if in_force_s > IN_FORCE_BOUND_S:
        broken.append('the manifest was not in force within 4 s')
    return Findings(rows, broken)


def _is_whole(item: load.Done) -> bool:
    return item.reply.verdict == 'ran' and item.reply.whole


def _broken_answers(done: list[load.Done]) -> list[str]:
    return [
        f'not the whole answer to the own request: {item.reference}'
        for item in done
        if item.reply.verdict == 'ran' and not item.reply.whole
    ]


def _broken_bookings(
    bookings: list[load.Done], record: records.Record
) -> list[str]:
    broken = []
    for item in bookings:
        count = record.booked.get(item.reference, 0)
        if item.reply.verdict == 'not_run' and count:
            broken.append(f'told not run, but ran: {item.reference}')
        if item.reply.verdict == 'ran' and not count:
            broken.append(f'answered, but never booked: {item.reference}')
    return broken


def _count_kind(done: list[load.Done], kind: str) -> str:
    return str(sum(item.kind == kind for item in done))


def _count_verdict(done: list[load.Done], verdict: str) -> str:
    return str(sum(item.reply.verdict == verdict for item in done))


def _latency_rows(done: list[load.Done]) -> list[tuple[str, str]]:
    times = histogram.HdrHistogram(1, MAX_CALL_US, 3)
    for item in done:
        times.record_value(max(1, int(item.reply.seconds * MICROSECONDS)))
    rows = []
    for percentile in (50, 99):
        value_ms = times.get_value_at_percentile(percentile) / 1000
        rows.append((f'p{percentile}', f'{value_ms:.1f} ms'))
    return rows
