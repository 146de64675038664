"""Crowds of clients whose heads are too large, too slow or never end."""

import asyncio
import contextlib
import itertools
import pathlib

import attrs

CLIENTS = 40
# Each client sends this much, unless it is cut off before.
CLIENT_BYTES = 16 * 1024 * 1024
PIECE_BYTES = 64 * 1024
# Only a hung process keeps a crowd from ending by itself.
CROWD_TIMEOUT_S = 120.0

_START = b'POST /read/x HTTP/1.1\r\nHost: a.example\r\n'
_CHUNKED = _START + b'Transfer-Encoding: chunked\r\n\r\n'
_WHOLE = b'GET /unknown HTTP/1.1\r\nHost: a.example\r\n\r\n'


def _endless(piece):
    return itertools.repeat(piece * (PIECE_BYTES // len(piece)))


def _fields(size):
    """Yield fields of about a size with different names."""
    for number in itertools.count():
        yield b'X-%d: ' % number + b'a' * size + b'\r\n'


# What a client sends first, and then as long as the connection lasts.
FORMS = {
    'a value without end': (_START + b'X: ', lambda: _endless(b'a')),
    'a name without end': (_START, lambda: _endless(b'a')),
    'a request line without end': (b'GET /', lambda: _endless(b'a')),
    'a method without end': (b'', lambda: _endless(b'A')),
    'fields without end': (_START, lambda: _fields(4000)),
    'large fields, held': (
        _START,
        lambda: itertools.islice(_fields(60_000), 120),
    ),
    'fields, held': (_START, lambda: itertools.islice(_fields(15_000), 120)),
    'half a head, held': (_START[:-10], lambda: iter(())),
    'trailers without end': (_CHUNKED + b'0\r\n', lambda: _fields(4000)),
    'a chunk extension without end': (
        _CHUNKED + b'1;',
        lambda: _endless(b'a'),
    ),
    'empty lines without end': (b'', lambda: _endless(b'\r\n')),
    'empty lines after a request': (_WHOLE, lambda: _endless(b'\r\n')),
    'line feeds without end': (b'', lambda: _endless(b'\n')),
}


@attrs.define(eq=False)
class Crowd:
    """Clients of one listener that all send the same form.

    Their connections stay open until the crowd is closed, unless the server
    ends them.
    """

    host: str
    port: int
    form: str
    _writers: list[asyncio.StreamWriter] = attrs.field(factory=list)

    async def send(self):
        """Send until each client is cut off or has sent all."""
        async with asyncio.timeout(CROWD_TIMEOUT_S):
            await asyncio.gather(*(self._run() for _ in range(CLIENTS)))

    async def close(self):
        """Close the connections that are left."""
        for writer in self._writers:
            writer.transport.abort()
        await asyncio.sleep(0)

    async def _run(self):
        reader, writer = await asyncio.open_connection(self.host, self.port)
        self._writers.append(writer)
        first, rest = FORMS[self.form]
        sent = 0
        with contextlib.suppress(ConnectionError):
            for piece in itertools.chain([first], rest()):
                writer.write(piece)
                await writer.drain()
                sent += len(piece)
                if sent > CLIENT_BYTES or reader.at_eof():
                    break


def peak_mb(pid):
    """Return the largest resident memory of a process so far, in MiB."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    (line,) = (row for row in status.splitlines() if row.startswith('VmHWM'))
    return int(line.split()[1]) / 1024


def descriptors(pid):
    """Return the number of open descriptors of a process."""
    return len(list(pathlib.Path(f'/proc/{pid}/fd').iterdir()))


def reset_peak(pid):
    """Count the largest resident memory of a process from now on."""
    pathlib.Path(f'/proc/{pid}/clear_refs').write_text('5')
