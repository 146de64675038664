"""A caller's connection and an upstream, to observe planned stops."""

import asyncio
import http.client
import io
import ipaddress
import pathlib
import socket
import time

from aiohttp import web
import attrs

from tests.process import platform_site

EVENTS = 20
GRACE_S = 8.0
WORK = 'X-Work-S'
SIZE = 'X-Size'


@attrs.define(eq=False)
class TimedUpstream(platform_site.CountingUpstream):
    """An upstream whose requests say how long they take and how much.

    The header ``WORK`` states seconds, ``SIZE`` the bytes of a plain body.
    """

    slots: int = 1000

    async def handle(self, request):
        """Answer a stream at ``/talk/`` and a plain request elsewhere."""
        id_ = request.headers.get('Cassiashift-Request-Id', '')
        headers = {
            'Cassiashift-Request-Id': id_,
            'Cassiashift-Response-Stamp': 's',
        }
        self.ran[id_] = self.ran.get(id_, 0) + 1
        work_s = float(request.headers.get(WORK, 0.01))
        if not request.path.startswith('/talk/'):
            await asyncio.sleep(work_s)
            body = b'x' * int(request.headers.get(SIZE, 1))
            return web.Response(body=body, headers=headers)
        response = web.StreamResponse(headers=headers)
        began_at = time.monotonic()
        await response.prepare(request)
        for number in range(1, EVENTS + 1):
            # An event that is late delays none of the others.
            due_at = began_at + work_s * number / EVENTS
            await asyncio.sleep(due_at - time.monotonic())
            await response.write(f'id: {number}\ndata: x\n\n'.encode())
        return response


def document():
    """Return a configuration with streams at ``talk``."""
    config = platform_site.document(1, ('talk', 'streaming'))
    for route in config['routes']:
        route['timeoutMs'] = 20_000
        route['attempts'] = 1
    return config


@attrs.define
class Answer:
    """What a caller got; the status is 0 if it got none.

    Attributes:
        size: bytes of its head and a plain body.
        after_s: seconds from the request to the end or the close.
    """

    status: int = 0
    size: int = 0
    body: bytes = attrs.field(default=b'', repr=len)
    is_whole: bool = False
    after_s: float = 0.0


@attrs.define(eq=False)
class Connection:
    """A connection of a caller that keeps it."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @classmethod
    async def open(cls, entry, receive_bytes=None):
        """Connect to an entry.

        Args:
            receive_bytes: size of the buffer of what was received.
        """
        sock = socket.socket()
        if receive_bytes is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        sock.setblocking(False)
        address = (entry.ip, platform_site.PORTS['front'])
        await asyncio.get_running_loop().sock_connect(sock, address)
        return cls(*await asyncio.open_connection(sock=sock))

    def bytes_in_kernel(self):
        """Return how many bytes of answers the kernel holds."""
        ends = [
            _proc_address(*self.writer.get_extra_info(name))
            for name in ('sockname', 'peername')
        ]
        held = 0
        table = pathlib.Path('/proc/net/tcp').read_text()
        for line in table.splitlines()[1:]:
            _, local, remote, _, queues, *_ = line.split()
            unacknowledged, unread = queues.split(':')
            if [local, remote] == ends:
                held += int(unread, 16)
            if [remote, local] == ends:
                held += int(unacknowledged, 16)
        return held

    def send(self, route, id_, body=b'', length=0, deadline_s=8.0, **headers):
        """Send a request, or of a body with a length only its first part."""
        lines = {
            'Host': platform_site.HOST,
            'Authorization': 'Token secret',
            'Cassiashift-Request-Id': id_,
            'Cassiashift-Deadline-Ms': f'{1000 * deadline_s:.0f}',
            'Content-Length': length or len(body),
        } | {name.replace('_', '-'): text for name, text in headers.items()}
        head = ''.join(f'{name}: {text}\r\n' for name, text in lines.items())
        self.writer.write(
            f'POST /{route}/x HTTP/1.1\r\n{head}\r\n'.encode() + body
        )

    async def read(self):
        """Return the next answer."""
        started = time.monotonic()
        answer = Answer()
        try:
            head = await self.reader.readuntil(b'\r\n\r\n')
            answer.status = int(head.split()[1])
            lines = io.BytesIO(head.partition(b'\r\n')[2])
            fields = http.client.parse_headers(lines)
            if 'Content-Length' in fields:
                length = int(fields['Content-Length'])
                answer.body = await self.reader.readexactly(length)
                answer.size = len(head) + length
            else:
                await self._read_chunks(answer)
            answer.is_whole = True
        except (EOFError, OSError):
            pass
        answer.after_s = time.monotonic() - started
        return answer

    async def call(self, route, id_, **options):
        """Send a request and return its answer."""
        self.send(route, id_, **options)
        return await self.read()

    async def _read_chunks(self, answer):
        size = 1
        while size:
            line = await self.reader.readuntil(b'\r\n')
            size = int(line, 16)
            answer.body += (await self.reader.readexactly(size + 2))[:size]


def _proc_address(ip, port):
    packed = ipaddress.ip_address(ip).packed
    return f'{packed[::-1].hex().upper()}:{port:04X}'


def is_kept(answer, runs):
    """Return whether an answer is whole, or refused and was not run."""
    if answer.status == 503:
        return answer.is_whole and not runs
    return answer.status == 200 and answer.is_whole and runs == 1
