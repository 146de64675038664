"""Callers that go on using their connections while entries stop."""

import asyncio
import contextlib
import math
import socket
import time

import attrs

from tests.process import platform_site
from tests.process import stop_upstreams

STATUS_OK = 200
# Time past its deadline for which a caller waits for an answer.
PATIENCE_S = 1.5
SLOW_BYTES_PER_S = 400_000
SLOW_BODY_S = 1.2
READ_SIZE = 16_384
PLAIN = 'plain'
CHUNKED = 'chunked'
SLOW_BODY = 'slow body'
SLOW_READER = 'slow reader'
LEAVER = 'leaver'


@attrs.define(eq=False)
class Call:
    """One request and what its caller saw; monotonic times.

    Attributes:
        entry: number of the entry that it was sent to.
        work_s: time that its upstream takes.
        limit_s: its deadline or its route's timeout, whichever is shorter.
        manner: how its caller behaves.
        leaves_after_s: time after which a leaver closes the connection.
        sent_from: time of the first byte.
        sent_at: time after the last byte; None if it was not sent.
        is_whole: the whole answer has arrived.
        has_left: the caller closed the connection first.
        turn_at: time of the end of the answer to the request before it, if
            it was sent before that; infinite if that answer has no end, as
            there can't be one to this request then.
        close_at: time of the head of its answer if that announces the close
            of the connection.
        dropped_at: that of the request before it; there is no answer then.
        fault: what was wrong with the bytes of the answer.
    """

    id: str
    route: str
    entry: int
    work_s: float
    deadline_s: float
    limit_s: float
    manner: str = PLAIN
    events: int = 10
    size: int = 400
    leaves_after_s: float = 0.0
    sent_from: float = 0.0
    sent_at: float | None = None
    ended_at: float = 0.0
    status: int = 0
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytearray = attrs.field(factory=bytearray)
    is_whole: bool = False
    has_left: bool = False
    turn_at: float = 0.0
    close_at: float = math.inf
    dropped_at: float = math.inf
    fault: str = ''

    @property
    def sent_body(self):
        """Return the body of the request."""
        return self.id.encode() * (1 if self.manner == PLAIN else 40)

    @property
    def head(self):
        """Return the request line and headers."""
        length = f'Content-Length: {len(self.sent_body)}'
        if self.manner == CHUNKED:
            length = 'Transfer-Encoding: chunked'
        query = f'work={self.work_s:.3f}&events={self.events}&size={self.size}'
        lines = [
            f'POST /{self.route}/x?{query} HTTP/1.1',
            f'Host: {platform_site.HOST}',
            f'{stop_upstreams.REQUEST_ID}: {self.id}',
            f'Cassiashift-Deadline-Ms: {1000 * self.deadline_s:.0f}',
            'Authorization: Token secret',
            length,
        ]
        return '\r\n'.join([*lines, '', '']).encode()

    def check_answer(self):
        """Return what is wrong with a whole answer, or an empty string."""
        stamp = self.headers.get('cassiashift-response-stamp')
        if self.status != STATUS_OK:
            return 'a failure with a stamp' if stamp else ''
        if stamp is None:
            return 'a success without a stamp'
        if self.route not in stop_upstreams.STREAMS:
            expected = stop_upstreams.plain_answer(
                self.id, self.sent_body, self.size
            )
        else:
            expected = b''.join(
                stop_upstreams.event(self.id, number, self.events, self.size)
                for number in range(1, self.events + 1)
            )
        return '' if self.body == expected else 'another body'


@attrs.define(eq=False)
class Connection:
    """A connection to an entry; it is kept until the entry closes it."""

    entry: platform_site.Entry
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    is_slow: bool
    is_open: bool = True

    @classmethod
    @contextlib.asynccontextmanager
    async def open(cls, entry, is_slow=False):
        """Connect to the listener for callers; raise OSError on failure."""
        sock = socket.socket()
        if is_slow:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        address = (entry.ip, platform_site.PORTS['front'])
        with sock:
            async with asyncio.timeout(1.0):
                await loop.sock_connect(sock, address)
            reader, writer = await asyncio.open_connection(
                sock=sock, limit=READ_SIZE
            )
            try:
                yield cls(entry, reader, writer, is_slow)
            finally:
                writer.close()

    def is_usable(self):
        """Return whether a request may be sent, as far as is known."""
        return self.is_open and not self.reader.at_eof()

    async def send(self, call, pipelined=None):
        """Send a request and read its answer; the call records both.

        Args:
            pipelined: request that is sent right after it; its answer is read
                as well.
        """
        call.sent_from = time.monotonic()
        sending = asyncio.ensure_future(self._write(call))
        if pipelined is None:
            await self._finish(call, sending)
            return
        await asyncio.wait([sending])
        pipelined.sent_from = time.monotonic()
        second = asyncio.ensure_future(self._write(pipelined))
        await self._finish(call, sending)
        pipelined.dropped_at = call.close_at
        if call.is_whole:
            pipelined.turn_at = call.ended_at
            await self._finish(pipelined, second)
            return
        pipelined.turn_at = math.inf
        pipelined.ended_at = call.ended_at
        pipelined.has_left = call.has_left
        second.cancel()
        await asyncio.gather(second, return_exceptions=True)

    async def _finish(self, call, sending):
        wait_s = call.sent_from + call.deadline_s + PATIENCE_S
        wait_s -= time.monotonic()
        if call.manner == LEAVER:
            wait_s = call.leaves_after_s
        try:
            async with asyncio.timeout(wait_s):
                await self._read(call)
            call.is_whole = True
        except TimeoutError:
            call.has_left = True
        except (OSError, asyncio.IncompleteReadError):
            pass
        except (ValueError, asyncio.LimitOverrunError) as exc:
            call.fault = f'no answer in the protocol: {exc!r}'
        call.ended_at = time.monotonic()
        # Bytes that are not sent yet make the connection useless.
        has_sent = sending.done()
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        is_kept = call.close_at == math.inf
        self.is_open = call.is_whole and has_sent and is_kept

    async def _write(self, call):
        pieces = [call.head + call.sent_body]
        if call.manner in (CHUNKED, SLOW_BODY):
            half = len(call.sent_body) // 2
            parts = [call.sent_body[:half], call.sent_body[half:]]
            if call.manner == CHUNKED:
                parts = [b'%x\r\n%b\r\n' % (len(x), x) for x in parts]
                parts.append(b'0\r\n\r\n')
            pieces = [call.head, *parts]
        for number, piece in enumerate(pieces):
            if number:
                await asyncio.sleep(SLOW_BODY_S / len(pieces))
            self.writer.write(piece)
            await self.writer.drain()
        call.sent_at = time.monotonic()

    async def _read(self, call):
        head = (await self.reader.readuntil(b'\r\n\r\n')).decode()
        status_line, *lines = head.strip().split('\r\n')
        version, status, *_ = status_line.split(' ')
        if version != 'HTTP/1.1':
            raise ValueError(status_line)
        fields = (line.partition(':') for line in lines)
        call.headers = {name.lower(): text.strip() for name, _, text in fields}
        call.status = int(status)
        if call.headers.get('connection', '').lower() == 'close':
            call.close_at = time.monotonic()
        if 'content-length' in call.headers:
            await self._read_body(call, int(call.headers['content-length']))
            return
        if call.headers.get('transfer-encoding') != 'chunked':
            raise ValueError('the answer has no length')
        while size := int(await self.reader.readuntil(b'\r\n'), 16):
            await self._read_body(call, size)
            await self.reader.readexactly(2)
        await self.reader.readexactly(2)

    async def _read_body(self, call, size):
        while size:
            data = await self.reader.read(min(size, READ_SIZE))
            if not data:
                raise asyncio.IncompleteReadError(data, size)
            call.body += data
            size -= len(data)
            if self.is_slow:
                await asyncio.sleep(len(data) / SLOW_BYTES_PER_S)
