"""Tests of hostile HTTP requests against a running entry.

Each is answered by an error or a closed connection. None reaches an upstream,
and the entry keeps running.
"""

import asyncio
import hashlib
import urllib.parse

import pytest
from testtools.assertions import assert_that
from testtools import matchers

from tests.process import conftest

pytestmark = pytest.mark.process

REPLY_TIMEOUT_S = 30.0
END_OF_REPLY_S = 0.2
KEY_HEADER = f'Authorization: Bearer {conftest.KEY}\r\n'
BOOKING_BODY = b'{"reference":"smuggled"}'
BOOKING_START = (
    f'POST /v1/services/warehouse/bookings HTTP/1.1\r\nHost: a\r\n{KEY_HEADER}'
)
SMUGGLED_REQUEST = (
    BOOKING_START.encode() + b'Content-Length: 24\r\n\r\n' + BOOKING_BODY
)
MAX_BODY_BYTES = 4 * 1024 * 1024


def _build_booking(headers, body=b''):
    return BOOKING_START.encode() + headers + b'\r\n' + body


# Each must be answered by an error or by a closed connection.
HOSTILE_REQUESTS = {
    'length and chunked': _build_booking(
        b'Content-Length: 24\r\nTransfer-Encoding: chunked\r\n',
        b'0\r\n\r\n' + SMUGGLED_REQUEST,
    ),
    'two lengths': _build_booking(
        b'Content-Length: 24\r\nContent-Length: 0\r\n', BOOKING_BODY
    ),
    'list of lengths': _build_booking(
        b'Content-Length: 24, 24\r\n', BOOKING_BODY
    ),
    'signed length': _build_booking(b'Content-Length: +24\r\n', BOOKING_BODY),
    'negative length': _build_booking(b'Content-Length: -1\r\n', BOOKING_BODY),
    'hidden encoding': _build_booking(
        b'Transfer-Encoding: xchunked\r\nContent-Length: 24\r\n', BOOKING_BODY
    ),
    'space before colon': _build_booking(
        b'Content-Length : 24\r\n', BOOKING_BODY
    ),
    'bad chunk size': _build_booking(
        b'Transfer-Encoding: chunked\r\n',
        b'0x18\r\n' + BOOKING_BODY + b'\r\n0\r\n',
    ),
    'folded header': _build_booking(
        b'Content-Length: 24\r\n X: y\r\n', BOOKING_BODY
    ),
    'null in header': _build_booking(
        b'X: a\0b\r\nContent-Length: 24\r\n', BOOKING_BODY
    ),
    'two hosts': (
        b'POST /v1/services/warehouse/bookings HTTP/1.1\r\n'
        b'Host: a\r\nHost: b\r\nContent-Length: 24\r\n\r\n' + BOOKING_BODY
    ),
    'long line': b'GET /' + b'a' * 100_000 + b' HTTP/1.1\r\nHost: a\r\n\r\n',
    'long header': _build_booking(b'X: ' + b'a' * 100_000 + b'\r\n'),
    'no http': b'\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03' + b'a' * 500,
    'bytes': bytes(range(256)) * 40,
    'large body': _build_booking(
        b'Content-Length: %d\r\n' % (MAX_BODY_BYTES + 1),
        b' ' * (MAX_BODY_BYTES + 1),
    ),
    'no key': (
        b'POST /v1/services/warehouse/bookings HTTP/1.1\r\nHost: a\r\n'
        b'Content-Length: 24\r\n\r\n' + BOOKING_BODY
    ),
    'wrong key': (
        b'POST /v1/services/warehouse/bookings HTTP/1.1\r\nHost: a\r\n'
        b'Authorization: Bearer x\r\nContent-Length: 24\r\n\r\n' + BOOKING_BODY
    ),
    'key in bytes': (
        b'POST /v1/services/warehouse/bookings HTTP/1.1\r\nHost: a\r\n'
        b'Authorization: Bearer \xff\xfe\r\nContent-Length: 24\r\n\r\n'
        + BOOKING_BODY
    ),
    'path traversal': (
        b'POST /v1/services/../../admin/v1/drains HTTP/1.1\r\nHost: a\r\n'
        + KEY_HEADER.encode()
        + b'Content-Length: 2\r\n\r\n{}'
    ),
    'workspace key for operators': (
        b'GET /admin/v1/status HTTP/1.1\r\nHost: a\r\n'
        + KEY_HEADER.encode()
        + b'\r\n'
    ),
}


async def _exchange(url, data, timeout_s=REPLY_TIMEOUT_S):
    """Send bytes to an entry; return its reply.

    The reply ends when the entry closes the connection or sends nothing for
    ``END_OF_REPLY_S``. The connection stays open for sending, because an entry
    drops the request of a caller that has closed its side.
    """
    parts = urllib.parse.urlsplit(url)
    reader, writer = await asyncio.open_connection(parts.hostname, parts.port)
    reply = b''
    try:
        writer.write(data)
        await writer.drain()
        while True:
            async with asyncio.timeout(END_OF_REPLY_S if reply else timeout_s):
                piece = await reader.read(65_536)
            if not piece:
                return reply
            reply += piece
    except (ConnectionError, TimeoutError):
        return reply
    finally:
        writer.close()


def _is_error_or_closed(reply):
    return all(
        line.split()[1].startswith(b'4')
        for line in reply.splitlines()
        if line.startswith(b'HTTP/1.')
    )


async def test_hostile_requests_get_errors_and_reach_no_upstream(deployment):
    url = deployment.cluster.entry_urls()[0]
    failures = {}
    for name, data in HOSTILE_REQUESTS.items():
        reply = await _exchange(url, data)
        if not _is_error_or_closed(reply):
            failures[name] = reply[:300]
        if b'Traceback' in reply or b'"hosts"' in reply:
            failures[name] = reply[:300]
    assert_that(failures, matchers.Equals({}))
    record = deployment.cluster.record()
    assert_that(record.booked, matchers.Equals({}))
    assert_that(
        deployment.cluster.daemons['entry-1'].is_running(), matchers.Is(True)
    )
    caller_reply = await deployment.create_caller().book('warehouse', 'after')
    assert_that(caller_reply.verdict, matchers.Equals('ran'))


async def test_an_incomplete_request_is_never_run(deployment):
    url = deployment.cluster.entry_urls()[0]
    request = _build_booking(b'Content-Length: 24\r\n', BOOKING_BODY)
    for length in (10, len(request) - 25, len(request) - 1):
        reply = await _exchange(url, request[:length], END_OF_REPLY_S)
        assert_that(_is_error_or_closed(reply), matchers.Is(True))
    record = deployment.cluster.record()
    assert_that(record.booked, matchers.Equals({}))


async def test_no_response_is_replayed_to_another_workspace(deployment):
    other = {
        'id': 'hotel',
        'key_hashes': [hashlib.sha256(b'hotel-key').hexdigest()],
    }
    manifest = deployment.manifest
    manifest['workspaces'].append(other)
    _, reply = await deployment.operator.apply(
        manifest, deployment.revision, 'second'
    )
    await deployment.operator.wait_in_force(reply['revision'])
    data = _build_booking(
        b'Idempotency-Key: dock-9\r\nContent-Length: 24\r\n', BOOKING_BODY
    )
    url = deployment.cluster.entry_urls()[0]
    first_reply = await _exchange(url, data)
    second_reply = await _exchange(url, data)
    other_reply = await _exchange(
        url, data.replace(conftest.KEY.encode(), b'hotel-key')
    )
    replayed = [
        b'Idempotency-Replayed: true' in reply
        for reply in (first_reply, second_reply, other_reply)
    ]
    assert_that(other_reply, matchers.StartsWith(b'HTTP/1.1 201'))
    assert_that(replayed, matchers.Equals([False, True, False]))


async def test_a_valid_booking_is_run(deployment):
    """Control for the tests above: the same booking without a fault."""
    url = deployment.cluster.entry_urls()[0]
    reply = await _exchange(
        url, _build_booking(b'Content-Length: 24\r\n', BOOKING_BODY)
    )
    assert_that(reply, matchers.StartsWith(b'HTTP/1.1 201'))
