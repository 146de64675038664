"""Checks the results of a load for double, lost and broken answers."""

import attrs
from hdrh import histogram

from tools.demo import load
from tools.standins import records

MICROSECONDS_PER_SECOND = 1_000_000
MAX_RECORDED_US = 60 * MICROSECONDS_PER_SECOND
MAX_IN_FORCE_S = 4.0


@attrs.define
class Findings:
    """Rows of the table of figures, and a line for each failed check."""

    rows: list[tuple[str, str]]
    broken: list[str]


def check_calls(
    done: list[load.FinishedCall], record: records.Record, in_force_s: float
) -> Findings:
    """Compare the replies with the records of the stand-ins."""
    bookings = [item for item in done if item.kind == load.CONFIRMATION]
    booked_twice = [name for name, count in record.booked.items() if count > 1]
    rows = [('calls', str(len(done)))]
    rows += [(f'  {kind}s', _count_kind(done, kind)) for kind in load.SHARES]
    rows += [
        ('answered once and whole', str(sum(map(_is_whole, done)))),
        ('not run', _count_verdict(done, 'not_run')),
        ('may have run', _count_verdict(done, 'may_have_run')),
        ('booked twice', str(len(booked_twice))),
    ]
    rows += _latency_rows(done)
    rows.append(('manifest in force', f'{in_force_s:.2f} s'))
    broken = [f'booked twice: {name}' for name in booked_twice]
    broken += _broken_answers(done)
    broken += _broken_bookings(bookings, record)
    if in_force_s > MAX_IN_FORCE_S:
        broken.append('the manifest was not in force within 4 s')
    return Findings(rows, broken)


def _is_whole(item: load.FinishedCall) -> bool:
    return item.reply.verdict == 'ran' and item.reply.is_complete


def _broken_answers(done: list[load.FinishedCall]) -> list[str]:
    return [
        f'not the whole answer to the own request: {item.reference}'
        for item in done
        if item.reply.verdict == 'ran' and not item.reply.is_complete
    ]


def _broken_bookings(
    bookings: list[load.FinishedCall], record: records.Record
) -> list[str]:
    broken = []
    for item in bookings:
        count = record.booked.get(item.reference, 0)
        if item.reply.verdict == 'not_run' and count:
            broken.append(f'told not run, but ran: {item.reference}')
        if item.reply.verdict == 'ran' and not count:
            broken.append(f'answered, but never booked: {item.reference}')
    return broken


def _count_kind(done: list[load.FinishedCall], kind: str) -> str:
    return str(sum(item.kind == kind for item in done))


def _count_verdict(done: list[load.FinishedCall], verdict: str) -> str:
    return str(sum(item.reply.verdict == verdict for item in done))


def _latency_rows(done: list[load.FinishedCall]) -> list[tuple[str, str]]:
    times = histogram.HdrHistogram(1, MAX_RECORDED_US, 3)
    for item in done:
        times.record_value(
            max(1, int(item.reply.seconds * MICROSECONDS_PER_SECOND))
        )
    rows = []
    for percentile in (50, 99):
        value_ms = times.get_value_at_percentile(percentile) / 1000
        rows.append((f'p{percentile}', f'{value_ms:.1f} ms'))
    return rows
