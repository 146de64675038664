"""Tests of how a direct entry forwards requests, retries and refuses them."""

import asyncio
import gzip
import time

import aiohttp
import pytest
from testtools.assertions import assert_that
from testtools import matchers

from tests.daemon.direct import conftest as harness

NOT_RUN = {'X_Not_Run': '1'}


def _events(first, last):
    return ''.join(
        f'id: {number}\ndata: x\n\n' for number in range(first, last + 1)
    )


async def test_an_answer_is_forwarded_with_its_stamp(site):
    upstream = await site.upstream('read')
    async with site.request('read') as response:
        assert_that(response.status, matchers.Equals(200))
        assert_that(await response.read(), matchers.Equals(b'done'))
        assert_that(response.headers['X-Stamp'], matchers.Equals('s'))
    head = upstream.heads[0]
    assert_that(head, matchers.StartsWith('POST /read/x?q=1 HTTP/1.1'))
    assert_that(harness.header(head, 'Host'), matchers.Equals(harness.HOST))
    assert_that(harness.header(head, 'X-Expect'), matchers.Equals('read-1'))
    assert_that(harness.header(head, 'X-Workspace'), matchers.Equals('acme'))
    assert_that(harness.header(head, 'X-Priority'), matchers.Equals('3'))
    assert_that(harness.header(head, 'Authorization'), matchers.Is(None))
    assert_that(
        int(harness.header(head, 'X-Deadline')) <= 2000, matchers.Is(True)
    )


@pytest.mark.parametrize(
    'body',
    [gzip.compress(b'{}' * 99, mtime=0), b'not gzip'],
    ids=['encoded', 'invalid'],
)
@pytest.mark.parametrize('service', ['read', 'book', 'talk', 'draft'])
async def test_an_encoded_body_is_forwarded_unchanged(site, service, body):
    # Otherwise an upstream can't decode what still has the header.
    upstream = await site.upstream(service, harness.streaming(1, 2))
    async with site.request(
        service, body=body, Content_Encoding='gzip'
    ) as response:
        await response.read()
    assert_that(upstream.bodies, matchers.Equals([body]))
    encoding = harness.header(upstream.heads[0], 'Content-Encoding')
    assert_that(encoding, matchers.Equals('gzip'))


async def test_a_caller_can_not_set_its_workspace(site):
    upstream = await site.upstream('open')
    async with site.request('open', X_Workspace='other') as response:
        assert_that(response.status, matchers.Equals(200))
    head = upstream.heads[0]
    assert_that(harness.header(head, 'X-Workspace'), matchers.Is(None))
    assert_that(harness.header(head, 'Authorization'), matchers.Is(None))


@pytest.mark.parametrize(
    ('service', 'headers', 'status'),
    [
        ('none', {}, 404),
        ('read', {'Authorization': 'Token wrong'}, 401),
        ('read', {'Authorization': 'secret'}, 401),
        ('read', {'X_Deadline': 'soon'}, 400),
        ('read', {}, 503),
    ],
)
async def test_requests_that_can_not_be_served_get_an_error_status(
    site, service, headers, status
):
    async with site.request(service, **headers) as response:
        assert_that(response.status, matchers.Equals(status))
        if status == 503:
            assert_that(response.headers, matchers.Contains('Retry-After'))


async def test_an_entry_without_a_configuration_answers_503(site):
    site.ingress.holder.table = None
    async with site.request('none') as response:
        assert_that(response.status, matchers.Equals(503))


async def test_callers_return_to_a_new_entry_once_a_leader_is_elected(site):
    site.ingress.holder.table = None
    for age_s, least_s, most_s in [(0.0, 1.4, 2.5), (30.0, 0.5, 0.8)]:
        site.ingress.started_at = time.monotonic() - age_s
        async with site.request('none') as response:
            retry_after_s = float(response.headers['Retry-After'])
        assert_that(retry_after_s, matchers.GreaterThan(least_s - 0.01))
        assert_that(retry_after_s, matchers.LessThan(most_s))


async def test_an_unsafe_request_is_retried_after_a_refusal(site, ticking):
    refusals = [harness.answering('503 No', **NOT_RUN)] * 3
    first = await site.upstream('book', *refusals)
    second = await site.upstream('book', *refusals)
    async with site.request('book') as response:
        assert_that(response.status, matchers.Equals(503))
        assert_that(response.headers, matchers.Contains('Retry-After'))
        assert_that(response.headers, matchers.Not(matchers.Contains('X-Id')))
    sends = len(first.heads) + len(second.heads)
    assert_that(sends, matchers.Equals(3))
    assert_that(
        first.heads and second.heads, matchers.Not(matchers.Equals([]))
    )


async def foreign(head, writer):
    """Script: answer with the id of another request."""
    writer.write(harness.reply('X-Id: other'))
    await writer.drain()


async def unsigned(head, writer):
    """Script: answer without a stamp."""
    writer.write(harness.reply(head).replace(b'X-Stamp: s\r\n', b''))
    await writer.drain()


async def half(head, writer):
    """Script: close the connection in the middle of the body."""
    writer.write(harness.reply(head, body=b'x' * 100)[:-50])
    await writer.drain()


def refusal_of_another(status, **headers):
    """Return a script that repeats the refusal of another request."""

    async def script(head, writer):
        writer.write(harness.reply('X-Id: other', status, **headers))
        await writer.drain()

    return script


@pytest.mark.parametrize(
    'script',
    [
        refusal_of_another('503 Full', **NOT_RUN),
        refusal_of_another('429 Full', **NOT_RUN),
        refusal_of_another('421 Misdirected'),
        refusal_of_another('421 Misdirected', X_At='other'),
    ],
)
async def test_the_refusal_of_another_request_proves_nothing(site, script):
    first = await site.upstream('book', script)
    second = await site.upstream('book', script)
    async with site.request('book') as response:
        assert_that(response.status, matchers.Equals(502))
    assert_that(first.heads + second.heads, matchers.HasLength(1))


async def test_a_refusal_that_is_written_twice_answers_one_request(
    site, ticking
):
    async def script(head, writer):
        writer.write(2 * harness.reply(head, '503 Full', **NOT_RUN))
        await writer.drain()

    await site.upstream('book', script)
    for _ in range(2):
        async with site.request('book') as response:
            assert_that(response.status, matchers.Equals(200))


@pytest.mark.parametrize('script', [harness.reset, foreign, unsigned, half])
async def test_an_unsafe_request_that_may_have_run_is_not_retried(
    site, script
):
    first = await site.upstream('book', script)
    second = await site.upstream('book', script)
    async with site.request('book') as response:
        assert_that(response.status, matchers.Equals(502))
    assert_that(first.heads + second.heads, matchers.HasLength(1))


@pytest.mark.parametrize(
    'script', [harness.reset, foreign, half, harness.answering('500 No')]
)
async def test_a_safe_request_that_failed_is_retried(site, script):
    await site.upstream('read', script)
    second = await site.upstream('read')
    site.condition('read-2').record_send(0.0)
    async with site.request('read') as response:
        assert_that(response.status, matchers.Equals(200))
    assert_that(second.heads, matchers.HasLength(1))


async def test_an_error_status_is_returned_when_no_retry_succeeds(site):
    failure = harness.answering('500 No', b'why')
    for _ in range(2):
        await site.upstream('read', failure)
    async with site.request('read') as response:
        assert_that(response.status, matchers.Equals(500))
        assert_that(await response.read(), matchers.Equals(b'why'))
        assert_that(response.headers['X-Stamp'], matchers.Equals('s'))


async def test_an_unreachable_upstream_is_skipped(site):
    gone = await site.upstream('book')
    site.servers[0].close()
    await site.servers[0].wait_closed()
    there = await site.upstream('book')
    for _ in range(4):
        async with site.request('book') as response:
            assert_that(response.status, matchers.Equals(200))
    assert_that(gone.heads, matchers.HasLength(0))
    assert_that(there.heads, matchers.HasLength(4))


async def test_a_stream_is_relayed_event_by_event(site):
    await site.upstream('draft', harness.streaming(1, 3, pause_s=0.05))
    async with site.request('draft') as response:
        first = await response.content.readuntil(b'\n\n')
        assert_that(first.decode(), matchers.Equals(_events(1, 1)))
        rest = await response.read()
    assert_that(rest.decode(), matchers.Equals(_events(2, 3)))


async def test_a_broken_stream_resumes_at_another_upstream(site):
    first = await site.upstream(
        'draft', harness.streaming(1, 2, is_whole=False)
    )
    second = await site.upstream('draft', harness.streaming(3, 4))
    second.scripts, first.scripts = [harness.streaming(3, 4)], first.scripts
    site.condition('draft-2').record_send(0.0)
    async with site.request('draft') as response:
        assert_that(await response.text(), matchers.Equals(_events(1, 4)))
    head = second.heads[0]
    assert_that(harness.header(head, 'Last-Event-Id'), matchers.Equals('2'))


async def _receive(site, service):
    """Return the bytes of an answer to the end of its connection."""
    url = site.url.removeprefix('http://').split(':')
    reader, writer = await asyncio.open_connection(*url)
    writer.write(
        f'POST /{service}/x HTTP/1.1\r\nHost: {harness.HOST}\r\nX-Id: r1\r\n'
        'Authorization: Token secret\r\nContent-Length: 0\r\n\r\n'.encode()
    )
    received = await asyncio.wait_for(reader.read(), 5)
    writer.close()
    return received


@pytest.mark.parametrize(
    ('service', 'script'),
    [
        ('talk', harness.streaming(1, 2, is_whole=False)),
        ('brief', harness.streaming(1, 20, pause_s=0.1)),
    ],
)
async def test_an_interrupted_stream_gets_no_final_chunk(
    site, service, script
):
    await site.upstream(service, script)
    received = await _receive(site, service)
    assert_that(received.count(b'HTTP/1.1'), matchers.Equals(1))
    assert_that(received, matchers.Contains(b'id: 1'))
    assert_that(received, matchers.Not(matchers.EndsWith(b'0\r\n\r\n')))


@pytest.mark.parametrize(
    'status',
    ['500 No', '404 No', '400 No', '503 Full', '421 Misdirected', '204 None'],
)
@pytest.mark.parametrize('is_refused', [False, True])
async def test_an_error_of_the_next_upstream_is_no_part_of_a_stream(
    site, status, is_refused
):
    broken = harness.streaming(1, 2, is_whole=False)
    headers = NOT_RUN if is_refused else {}
    error = harness.answering(status, b'id: 3\ndata: why\n\n', **headers)
    await site.upstream('draft', broken)
    await site.upstream('draft', *4 * [error])
    site.condition('draft-2').record_send(0.0)
    received = await _receive(site, 'draft')
    assert_that(received.count(b'HTTP/1.1'), matchers.Equals(1))
    assert_that(received, matchers.Contains(b'id: 2'))
    assert_that(received, matchers.Not(matchers.Contains(b'why')))
    assert_that(received, matchers.Not(matchers.Contains(b'verdict')))
    assert_that(received, matchers.Not(matchers.EndsWith(b'0\r\n\r\n')))


async def test_a_stream_is_cancelled_when_its_caller_disconnects(site):
    upstream = await site.upstream(
        'talk', harness.streaming(1, 500, pause_s=0.02)
    )
    async with site.request('talk') as response:
        await response.content.readuntil(b'\n\n')
        response.close()
    await asyncio.wait_for(upstream.ended.wait(), 2)
    assert_that(site.ingress.in_flight, matchers.Equals(0))


async def test_a_request_is_not_sent_when_its_caller_left_the_queue(site):
    upstream = await site.upstream('read')
    condition = site.condition('read-1')
    condition.in_flight = 2
    with pytest.raises(asyncio.TimeoutError):
        async with asyncio.timeout(0.2):
            async with site.request('read'):
                pass
    await asyncio.sleep(0.1)
    condition.in_flight = 0
    site.ingress.placement.tick()
    await asyncio.sleep(0.1)
    assert_that(upstream.heads, matchers.HasLength(0))
    assert_that(condition.in_flight, matchers.Equals(0))


async def test_a_silent_upstream_causes_a_timeout(site):
    await site.upstream('book', harness.silent)
    async with site.request('book', X_Deadline='300') as response:
        assert_that(response.status, matchers.Equals(504))


async def test_a_request_that_timed_out_in_the_queue_gets_503(site, ticking):
    await site.upstream('book')
    site.condition('book-1').in_flight = 2
    async with site.request('book', X_Deadline='300') as response:
        assert_that(response.status, matchers.Equals(503))


async def test_a_leaving_entry_closes_its_connections(site):
    await site.upstream('read')
    site.ingress.is_leaving = True
    async with site.request('read') as response:
        assert_that(
            response.headers.get('Connection'), matchers.Equals('close')
        )


async def test_a_leaving_entry_keeps_connections_of_failed_streams(site):
    """Guards against callers that send their next request to it again."""
    await site.upstream('talk', harness.answering('404 Not Found'))
    site.ingress.is_leaving = True
    async with site.request('talk') as response:
        assert_that(response.status, matchers.Equals(404))
        assert_that(
            response.headers.get('Connection'), matchers.Equals('close')
        )


async def test_a_body_without_a_length_needs_an_orderly_close(site):
    def unframed(is_reset):
        async def script(head, writer):
            id_ = harness.header(head, 'X-Id')
            writer.write(
                f'HTTP/1.1 200 OK\r\nX-Id: {id_}\r\nX-Stamp: s\r\n'
                'Connection: close\r\n\r\nhalf'.encode()
            )
            await writer.drain()
            await asyncio.sleep(0.05)
            if is_reset:
                sock = writer.get_extra_info('socket')
                sock.setsockopt(1, 13, b'\x01\0\0\0\0\0\0\0')

        return script

    await site.upstream('book', unframed(False))
    async with site.request('book') as response:
        assert_that(await response.read(), matchers.Equals(b'half'))
    site.runner.upstreams.mark_gone('book-1', 0)
    await site.upstream('book', unframed(True))
    async with site.request('book') as response:
        assert_that(response.status, matchers.Equals(502))


async def test_an_oversized_body_is_refused(site):
    await site.upstream('read')
    body = b'x' * (5 * 1024 * 1024)
    headers = {
        'Host': harness.HOST,
        'X-Id': 'r1',
        'Authorization': 'Token secret',
    }
    try:
        async with site.session.post(
            f'{site.url}/read/x', headers=headers, data=body
        ) as response:
            assert_that(response.status, matchers.Equals(413))
    except aiohttp.ClientOSError:
        pass


async def test_retry_after_covers_the_recovery_of_a_broken_group(site):
    broken = harness.answering('503 No', X_Not_Run='1', X_At='other')
    for _ in range(3):
        await site.upstream('draft', broken, broken, broken)
    async with site.request('draft', X_Deadline='8000') as response:
        assert_that(response.status, matchers.Equals(503))
        after_s = float(response.headers['Retry-After'])
    assert_that(after_s, matchers.GreaterThan(1.0))
    assert_that(after_s <= 8.0 / 3, matchers.Is(True))


async def test_retry_after_stays_below_the_deadline(site):
    broken = harness.answering('503 No', X_Not_Run='1', X_At='other')
    for _ in range(3):
        await site.upstream('draft', broken)
    async with site.request('draft', X_Deadline='900') as response:
        after_s = float(response.headers['Retry-After'])
    assert_that(after_s <= 0.31, matchers.Is(True))
