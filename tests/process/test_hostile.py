"""Hostile HTTP against a running entry.

Each input gets an error or a closed connection; nothing of it reaches an
upstream, and the entry lives on.
"""

import asyncio
import hashlib
import urllib.parse

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from tests.process import conftest

pytestmark = pytest.mark.process

PATIENCE_S = 30.0
PAUSE_S = 0.2
KEY = f'Authorization: Bearer {conftest.KEY}\r\n'
BOOKING = b'{"reference":"smuggled"}'
BOOK = f'POST /v1/services/warehouse/bookings HTTP/1.1\r\nHost: a\r\n{KEY}'
BOOK_AGAIN = BOOK.encode() + b'Content-Length: 24\r\n\r\n' + BOOKING
MAX_BODY_BYTES = 4 * 1024 * 1024


def _book(headers, body=b''):
    return BOOK.encode() + headers + b'\r\n' + body


# Each may be answered by an error or by a closed connection only.
REFUSED = {
    'length and chunked': _book(
        b'Content-Length: 24\r\nTransfer-Encoding: chunked\r\n',
        b'0\r\n\r\n' + BOOK_AGAIN,
    ),
    'two lengths': _book(
        b'Content-Length: 24\r\nContent-Length: 0\r\n', BOOKING
    ),
    'list of lengths': _book(b'Content-Length: 24, 24\r\n', BOOKING),
    'signed length': _book(b'Content-Length: +24\r\n', BOOKING),
    'negative length': _book(b'Content-Length: -1\r\n', BOOKING),
    'hidden encoding': _book(
        b'Transfer-Encoding: xchunked\r\nContent-Length: 24\r\n', BOOKING
    ),
    'space before colon': _book(b'Content-Length : 24\r\n', BOOKING),
    'bad chunk size': _book(
        b'Transfer-Encoding: chunked\r\n', b'0x18\r\n' + BOOKING + b'\r\n0\r\n'
    ),
    'folded header': _book(b'Content-Length: 24\r\n X: y\r\n', BOOKING),
    'null in header': _book(b'X: a\0b\r\nContent-Length: 24\r\n', BOOKING),
    'two hosts': (
        b'POST /v1/services/warehouse/bookings HTTP/1.1\r\n'
        b'Host: a\r\nHost: b\r\nContent-Length: 24\r\n\r\n' + BOOKING
    ),
    'long line': b'GET /' + b'a' * 100_000 + b' HTTP/1.1\r\nHost: a\r\n\r\n',
    'long header': _book(b'X: ' + b'a' * 100_000 + b'\r\n'),
    'no http': b'\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03' + b'a' * 500,
    'bytes': bytes(range(256)) * 40,
    'large body': _book(
        b'Content-Length: %d\r\n' % (MAX_BODY_BYTES + 1),
        b' ' * (MAX_BODY_BYTES + 1),
    ),
    'no key': (
        b'POST /v1/services/warehouse/bookings HTTP/1.1\r\nHost: a\r\n'
        b'Content-Length: 24\r\n\r\n' + BOOKING
    ),
    'wrong key': (
        b'POST /v1/services/warehouse/bookings HTTP/1.1\r\nHost: a\r\n'
        b'Authorization: Bearer x\r\nContent-Length: 24\r\n\r\n' + BOOKING
    ),
    'key in bytes': (
        b'POST /v1/services/warehouse/bookings HTTP/1.1\r\nHost: a\r\n'
        b'Authorization: Bearer \xff\xfe\r\nContent-Length: 24\r\n\r\n'
        + BOOKING
    ),
    'climbing path': (
        b'POST /v1/services/../../admin/v1/drains HTTP/1.1\r\nHost: a\r\n'
        + KEY.encode()
        + b'Content-Length: 2\r\n\r\n{}'
    ),
    'workspace key for operators': (
        b'GET /admin/v1/status HTTP/1.1\r\nHost: a\r\n'
        + KEY.encode()
        + b'\r\n'
    ),
}


async def _exchange(url, data, patience_s=PATIENCE_S):
    """Return what an entry answers until it pauses or closes.

    The connection stays open for sending: an entry drops the request of a
    caller that has closed its side.
    """
    parts = urllib.parse.urlsplit(url)
    reader, writer = await asyncio.open_connection(parts.hostname, parts.port)
    answer = b''
    try:
        writer.write(data)
        await writer.drain()
        while True:
            async with asyncio.timeout(PAUSE_S if answer else patience_s):
                piece = await reader.read(65_536)
            if not piece:
                return answer
            answer += piece
    except (ConnectionError, TimeoutError):
        return answer
    finally:
        writer.close()


def _is_error(answer):
    return all(
        line.split()[1].startswith(b'4')
        for line in answer.splitlines()
        if line.startswith(b'HTTP/1.')
    )


async def test_hostile_requests_get_errors_and_reach_nothing(deployment):
    url = deployment.cluster.entry_urls()[0]
    wrong = {}
    for name, data in REFUSED.items():
        answer = await _exchange(url, data)
        if not _is_error(answer):
            wrong[name] = answer[:300]
        if b'Traceback' in answer or b'"hosts"' in answer:
            wrong[name] = answer[:300]
    assert_that(wrong, matchers.Equals({}))
    record = deployment.cluster.record()
    assert_that(record.booked, matchers.Equals({}))
    assert_that(
        deployment.cluster.daemons['entry-1'].is_running(), matchers.Is(True)
    )
    reply = await deployment.caller().book('warehouse', 'after')
    assert_that(reply.verdict, matchers.Equals('ran'))


async def test_half_a_request_is_never_run(deployment):
    url = deployment.cluster.entry_urls()[0]
    whole = _book(b'Content-Length: 24\r\n', BOOKING)
    for length in (10, len(whole) - 25, len(whole) - 1):
        answer = await _exchange(url, whole[:length], PAUSE_S)
        assert_that(_is_error(answer), matchers.Is(True))
    record = deployment.cluster.record()
    assert_that(record.booked, matchers.Equals({}))


async def test_another_workspace_gets_no_answer_of_the_first(deployment):
    other = {
        'id': 'hotel',
        'key_hashes': [hashlib.sha256(b'hotel-key').hexdigest()],
    }
    manifest = deployment.manifest
    manifest['workspaces'].append(other)
    _, answer = await deployment.operator.apply(
        manifest, deployment.revision, 'second'
    )
    await deployment.operator.wait_in_force(answer['revision'])
    data = _book(b'Idempotency-Key: dock-9\r\nContent-Length: 24\r\n', BOOKING)
    url = deployment.cluster.entry_urls()[0]
    first = await _exchange(url, data)
    again = await _exchange(url, data)
    of_other = await _exchange(
        url, data.replace(conftest.KEY.encode(), b'hotel-key')
    )
    replayed = [
        b'Idempotency-Replayed: true' in answer
        for answer in (first, again, of_other)
    ]
    assert_that(of_other, matchers.StartsWith(b'HTTP/1.1 201'))
    assert_that(replayed, matchers.Equals([False, True, False]))


async def test_the_control_of_these_tests_is_run(deployment):
    url = deployment.cluster.entry_urls()[0]
    answer = await _exchange(url, _book(b'Content-Length: 24\r\n', BOOKING))
    assert_that(answer, matchers.StartsWith(b'HTTP/1.1 201'))
