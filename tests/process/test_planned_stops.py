"""Tests of planned stops of an entry of the users' platform."""

import asyncio
import contextlib
import random
import signal
import time

import attrs
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from tests.process import planned_stops
from tests.process import platform_site

pytestmark = pytest.mark.process

MEMORY_MB = 200
# A body below the bound of a connection's write buffer.
BODY_BYTES = 15_000
# Most seconds until a request that is not passed on is refused.
REFUSED_WITHIN_S = 0.2


@attrs.define(eq=False)
class Stop:
    """A planned stop of one of three entries.

    Attributes:
        at: time of the first signal.
        ended_at: time at which the process ended or was killed.
    """

    site: platform_site.Site
    at: float = 0.0
    ended_at: float = 0.0
    _ending: asyncio.Task | None = None

    @property
    def entry(self):
        """Return the entry that is stopped."""
        return self.site.entries[-1]

    async def connect(self, count):
        """Return connections that were used once and are idle."""
        opened = []
        for number in range(count):
            conn = await planned_stops.Connection.open(self.entry)
            answer = await conn.call('read', f'connect-{number}')
            assert_that(answer.status, matchers.Equals(200))
            opened.append(conn)
        return opened

    def begin(self):
        """Send SIGTERM; the process is killed at the end of the grace."""
        self.entry.signal(signal.SIGTERM)
        self.at = time.monotonic()
        self._ending = asyncio.ensure_future(self._end())

    async def sleep_until(self, seconds):
        """Sleep until a number of seconds after the first signal."""
        await asyncio.sleep(self.at + seconds - time.monotonic())

    async def end(self):
        """Wait for the end of the process."""
        await self._ending

    def cut(self, answers):
        """Return the answers by id that are neither whole nor not run."""
        return {
            id_: answer
            for id_, answer in answers.items()
            if not planned_stops.is_kept(answer, self.runs(id_))
        }

    def runs(self, id_):
        """Return how often a request ran."""
        return self.site.upstream.ran.get(id_, 0)

    async def _end(self):
        while time.monotonic() < self.at + planned_stops.GRACE_S:
            if self.entry.process.poll() is not None:
                break
            await asyncio.sleep(0.01)
        self.entry.kill()
        self.ended_at = time.monotonic()


@pytest.fixture
async def stop(tmp_path, loopback_network):
    async with platform_site.site(
        tmp_path,
        loopback_network,
        without=0,
        settings={'limits': {'memoryMb': MEMORY_MB}},
        upstream_class=planned_stops.TimedUpstream,
    ) as running:
        stop = Stop(running)
        await running.put_until_acknowledged(
            stop.entry, planned_stops.document()
        )
        await running.wait_until(running.is_ready, stop.entry)

        async def is_served():
            status, _ = await running.call(stop.entry, 'read', 'first')
            return status == 200

        await running.wait_until(is_served)
        yield stop


async def test_late_streams_that_end_before_the_stop_are_served(stop):
    """Guards against an entry that refuses whatever is late."""
    *idle, kept = await stop.connect(21)
    stream = asyncio.ensure_future(kept.call('talk', 'long', X_Work_S=6.0))
    await asyncio.sleep(0.3)
    stop.begin()
    late = {}
    for number, conn in enumerate(idle):
        await stop.sleep_until(0.2 + 4.0 * number / 20)
        late[f'late-{number}'] = asyncio.ensure_future(
            conn.call('talk', f'late-{number}', X_Work_S=0.2, deadline_s=2.5)
        )
    answers = {id_: await answer for id_, answer in late.items()}
    await stream
    await stop.end()
    assert_that(stop.cut(answers), matchers.Equals({}))
    statuses = [answer.status for answer in answers.values()]
    assert_that(statuses, matchers.Equals([200] * 20))


async def test_streams_are_served_while_all_entries_stop_at_once(stop):
    """Guards against callers who are refused by every entry."""
    idle = await stop.connect(12)
    for conn in await stop.connect(5):
        await conn.call('talk', 'usual', X_Work_S=0.2)
    for entry in stop.site.entries[:-1]:
        entry.signal(signal.SIGTERM)
    stop.begin()
    await stop.sleep_until(1.0)
    answers = await asyncio.gather(
        *(
            conn.call('talk', f'late-{number}', X_Work_S=0.2)
            for number, conn in enumerate(idle)
        )
    )
    await stop.end()
    statuses = [answer.status for answer in answers]
    assert_that(statuses, matchers.Equals([200] * 12))


async def test_no_stream_is_cut_that_an_entry_takes_as_it_leaves_alone(stop):
    """Guards against a stop that is noticed late and counted from then on."""
    idle = await stop.connect(12)
    for conn in await stop.connect(5):
        await conn.call('talk', 'usual', X_Work_S=0.2)
    for entry in stop.site.entries[:-1]:
        entry.signal(signal.SIGTERM)
    stop.entry.signal(signal.SIGSTOP)
    stop.begin()
    await stop.sleep_until(0.3)
    stop.entry.signal(signal.SIGCONT)
    await stop.sleep_until(3.05)
    answers = await asyncio.gather(
        *(
            conn.call('talk', f'late-{number}', X_Work_S=6.0)
            for number, conn in enumerate(idle)
        )
    )
    await stop.end()
    late = {f'late-{n}': answer for n, answer in enumerate(answers)}
    assert_that(stop.cut(late), matchers.Equals({}))


async def test_no_late_stream_is_cut_at_the_end_of_a_stop(stop):
    """Guards against streams that last longer than their route usually."""
    rng = random.Random(50)
    idle = await stop.connect(60)
    usual = [rng.uniform(0.2, 0.6) for _ in range(54)]
    longer = [rng.uniform(4.0, 7.0) for _ in range(6)]
    # The entry learns the times, and one stream goes on for most of the stop.
    before = [7.4, *usual[:20], *longer[:2]]
    learning = [
        asyncio.ensure_future(conn.call('talk', f'before-{n}', X_Work_S=s))
        for n, (conn, s) in enumerate(
            zip(await stop.connect(23), before, strict=True)
        )
    ]
    await asyncio.sleep(0.8)
    stop.begin()
    await stop.sleep_until(3.0)
    times = rng.sample(usual + longer, 60)
    late = {}
    for number, (conn, work_s) in enumerate(zip(idle, times, strict=True)):
        await stop.sleep_until(3.0 + 2.5 * number / 60)
        late[f'late-{number}'] = asyncio.ensure_future(
            conn.call('talk', f'late-{number}', X_Work_S=work_s)
        )
    answers = {id_: await answer for id_, answer in late.items()}
    for number, answer in enumerate(learning):
        answers[f'before-{number}'] = await answer
    await stop.end()
    assert_that(stop.cut(answers), matchers.Equals({}))


@pytest.mark.parametrize('number', [signal.SIGTERM, signal.SIGINT])
async def test_a_second_stop_signal_cuts_nothing_off(stop, number):
    """Guards against a drain that a second signal ends."""
    idle = await stop.connect(4)
    answers = {}

    def send(conn, route, id_, **options):
        answers[id_] = asyncio.ensure_future(conn.call(route, id_, **options))

    send(idle[0], 'talk', 'stream', X_Work_S=5.0)
    send(idle[1], 'book', 'plain', X_Work_S=5.0)
    await asyncio.sleep(0.3)
    stop.begin()
    await stop.sleep_until(2.0)
    stop.entry.signal(number)
    await asyncio.sleep(0.06)
    send(idle[2], 'book', 'kept', X_Work_S=0.3, deadline_s=2.0)
    done = {'fresh': planned_stops.Answer()}
    with contextlib.suppress(ConnectionError):
        fresh = await planned_stops.Connection.open(stop.entry)
        send(fresh, 'talk', 'fresh', X_Work_S=0.3, deadline_s=2.0)
    done |= {id_: await answer for id_, answer in answers.items()}
    await stop.end()
    assert_that(stop.cut(done), matchers.Equals({}))
    statuses = {answer.status for answer in done.values()}
    assert_that(statuses, matchers.Equals({200}))


@pytest.mark.parametrize(
    ('stream_s', 'since', 'until'),
    [(12.0, 7.2, 7.95), (5.0, 4.6, 5.4)],
    ids=['stream-in-progress', 'nothing-in-progress'],
)
async def test_no_request_is_held_at_the_end_of_a_stop(
    stop, stream_s, since, until
):
    """Guards against requests that a process takes while it ends."""
    idle = await stop.connect(61)
    stream = asyncio.ensure_future(
        idle[-1].call('talk', 'long', X_Work_S=stream_s, deadline_s=20.0)
    )
    await asyncio.sleep(0.2)
    stop.begin()
    late = {}
    for number, conn in enumerate(idle[:-1]):
        await stop.sleep_until(since + (until - since) * number / 60)
        late[f'late-{number}'] = asyncio.ensure_future(
            conn.call('book', f'late-{number}', X_Work_S=0.1, deadline_s=1.0)
        )
    answers = {id_: await answer for id_, answer in late.items()}
    await stream
    await stop.end()
    closed = {id_: item for id_, item in answers.items() if not item.status}
    kept = {id_: item for id_, item in answers.items() if item.status}
    assert_that(stop.cut(kept), matchers.Equals({}))
    held = {
        id_: item
        for id_, item in answers.items()
        if not stop.runs(id_) and item.after_s > REFUSED_WITHIN_S
    }
    assert_that(held, matchers.Equals({}))
    passed_on = [id_ for id_ in closed if stop.runs(id_)]
    assert_that(passed_on, matchers.Equals([]))
    is_cut = 'event=answer_broken_off request=long ' in stop.entry.log()
    assert_that(is_cut, matchers.Equals(stream_s > planned_stops.GRACE_S))


async def test_answers_that_are_not_read_yet_outlast_a_stop(stop):
    """Guards against an end of the process with unsent bytes of answers."""
    conn = await planned_stops.Connection.open(stop.entry, receive_bytes=2048)
    size = (await conn.call('read', 'slow-0', X_Size=BODY_BYTES)).size
    conn.writer.transport.pause_reading()
    ids = []
    while conn.bytes_in_kernel() == size * len(ids):
        ids.append(f'slow-{1 + len(ids)}')
        conn.send('read', ids[-1], X_Size=BODY_BYTES)
        await asyncio.sleep(0.3)
    stop.begin()
    await stop.sleep_until(5.0)
    conn.writer.transport.resume_reading()
    answers = {id_: await conn.read() for id_ in ids}
    await stop.end()
    assert_that(stop.cut(answers), matchers.Equals({}))


async def test_a_request_still_on_its_way_gets_a_final_answer(stop):
    """Guards against a bare close where the body is being read."""
    idle = await stop.connect(2)
    stream = asyncio.ensure_future(
        idle[0].call('talk', 'long', X_Work_S=12.0, deadline_s=20.0)
    )
    idle[1].send('book', 'partly', b'x' * 500, length=1000, deadline_s=20.0)
    await asyncio.sleep(0.3)
    stop.begin()
    answer = await idle[1].read()
    await stream
    await stop.end()
    assert_that(answer.status, matchers.Equals(503))
    assert_that(stop.cut({'partly': answer}), matchers.Equals({}))


async def test_pipelined_requests_are_answered_before_the_connection_closes(
    stop,
):
    """Guards against a close behind which requests that were read remain."""
    (conn,) = await stop.connect(1)
    ids = [f'pipelined-{number}' for number in range(3)]
    for id_ in ids:
        conn.send('book', id_, X_Work_S=0.5)
    await asyncio.sleep(0.3)
    stop.begin()
    answers = {id_: await conn.read() for id_ in ids}
    await stop.end()
    assert_that(stop.cut(answers), matchers.Equals({}))


async def test_no_request_is_held_after_the_line_that_the_process_ends(stop):
    """Guards against idle connections that stay open until the kill."""
    *idle, busy = await stop.connect(61)
    stream = asyncio.ensure_future(
        busy.call('talk', 'long', X_Work_S=12.0, deadline_s=20.0)
    )
    await asyncio.sleep(0.2)
    stop.begin()
    await stop.sleep_until(7.0)
    async with asyncio.timeout(planned_stops.GRACE_S):
        while 'event=stopped' not in stop.entry.log():
            await asyncio.sleep(0.001)
    late = {}
    for number, conn in enumerate(idle):
        late[f'late-{number}'] = asyncio.ensure_future(
            conn.call('book', f'late-{number}', X_Work_S=0.1)
        )
        await asyncio.sleep(0.3 / len(idle))
    answers = {id_: await answer for id_, answer in late.items()}
    await stream
    await stop.end()
    held = {
        id_: item
        for id_, item in answers.items()
        if stop.runs(id_) or item.after_s > REFUSED_WITHIN_S
    }
    assert_that(held, matchers.Equals({}))
