"""The client of the administration API."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import pathlib
import time
from typing import Annotated
from typing import Any
from typing import TypeVar

import aiohttp
import attrs
import cyclopts
import msgspec

from cassiashift_cli import output
from cassiashift_core import CassiashiftError
from cassiashift_core import ErrorCode
from cassiashift_core import Verdict
from cassiashift_net import administration
from cassiashift_net import tls

ENV_PREFIX = 'CASSIASHIFT_'
TRY_TIMEOUT_S = 10.0
PAUSE_S = 0.2
MAX_PAUSE_S = 2.0
MAX_TIMEOUT_S = 86_400.0
MAX_ANSWER_BYTES = 64 * 1024 * 1024
LOST_ANSWER_CODES = (
    ErrorCode.DRAINING,
    ErrorCode.INTERNAL,
    ErrorCode.NOT_LEADER,
    ErrorCode.NO_QUORUM,
    ErrorCode.OUTCOME_UNKNOWN,
    ErrorCode.OVERLOADED,
)

T = TypeVar('T')


def _option(name: str, text: str) -> cyclopts.Parameter:
    return cyclopts.Parameter(
        env_var=ENV_PREFIX + name.upper(), show_env_var=True, help=text
    )


@attrs.frozen(kw_only=True)
class ClientSettings:
    """How the command line reaches the deployment."""

    entry: Annotated[
        str,
        _option('entry', 'URLs of entries, separated by commas.'),
    ] = 'http://127.0.0.1:7080'
    operator_key: Annotated[
        str, _option('operator_key', 'The operator key.')
    ] = ''
    operator_key_file: Annotated[
        str,
        _option(
            'operator_key_file',
            'File with the operator key; keeps it out of process lists.',
        ),
    ] = ''
    ca_file: Annotated[
        str, _option('ca_file', 'File with the authority for https URLs.')
    ] = ''
    timeout_s: Annotated[
        float,
        _option('timeout_s', 'Seconds to keep trying before giving up.'),
    ] = 30.0

    def entries(self) -> tuple[str, ...]:
        """Return the entries' URLs.

        Raises:
            CassiashiftError: there is none, or one is no URL.
        """
        urls = [item.strip().rstrip('/') for item in self.entry.split(',')]
        found = tuple(url for url in urls if url)
        for url in found or ('',):
            if not url.startswith(('http://', 'https://')):
                raise CassiashiftError(
                    ErrorCode.BAD_REQUEST,
                    f'--entry (CASSIASHIFT_ENTRY): {url!r} is not a URL',
                )
        return found

    def key(self) -> str:
        """Return the operator key.

        Raises:
            CassiashiftError: there is none, or it can't be read.
        """
        key = self.operator_key
        if not key and self.operator_key_file:
            try:
                path = pathlib.Path(self.operator_key_file)
                key = path.read_text(encoding='utf-8').strip()
            except (OSError, ValueError) as exc:
                raise CassiashiftError(
                    ErrorCode.BAD_REQUEST,
                    f'--operator-key-file can not be read: {exc}',
                ) from exc
        if not key:
            raise CassiashiftError(
                ErrorCode.UNAUTHENTICATED,
                'set CASSIASHIFT_OPERATOR_KEY or --operator-key-file',
            )
        if not key.isascii() or not key.isprintable():
            raise CassiashiftError(
                ErrorCode.UNAUTHENTICATED, 'the operator key is malformed'
            )
        return key


Client = Annotated[ClientSettings, cyclopts.Parameter(name='*')]
DEFAULT_CLIENT = ClientSettings()


@attrs.define(eq=False)
class AdminClient:
    """Asks the entries in turn until one gives an answer.

    Every request is safe to send again: a change carries a request id.
    """

    urls: tuple[str, ...]
    key: str
    timeout_s: float
    session: aiohttp.ClientSession
    progress: output.Progress = attrs.field(factory=output.Progress)
    _turn: int = 0

    @classmethod
    def from_config(
        cls, cfg: ClientSettings, session: aiohttp.ClientSession
    ) -> 'AdminClient':
        """Return a client with the settings of the command line.

        Raises:
            CassiashiftError: a setting can't be used.
        """
        if not 0 < cfg.timeout_s <= MAX_TIMEOUT_S:
            raise CassiashiftError(
                ErrorCode.BAD_REQUEST,
                '--timeout-s (CASSIASHIFT_TIMEOUT_S): is not between 0 and'
                f' {MAX_TIMEOUT_S:.0f}',
            )
        return cls(cfg.entries(), cfg.key(), cfg.timeout_s, session)

    async def get(self, path: str, cls: type[T], **query: str) -> T:
        """Return what an entry answers to a question."""
        return await self._until_answered('GET', path, cls, query, None)

    async def put(self, path: str, cls: type[T], body: Any) -> T:
        """Return the answer to a change that replaces something."""
        data = msgspec.json.encode(body)
        return await self._until_answered('PUT', path, cls, {}, data)

    async def post(self, path: str, cls: type[T], body: Any) -> T:
        """Return the answer to a change that adds something."""
        data = msgspec.json.encode(body)
        return await self._until_answered('POST', path, cls, {}, data)

    async def get_from(
        self, url: str, path: str, cls: type[T], **query: str
    ) -> T:
        """Return what one entry answers, without another try."""
        return await self._try('GET', url, path, cls, query, None)

    async def _until_answered(
        self,
        method: str,
        path: str,
        cls: type[T],
        query: dict[str, str],
        data: bytes | None,
    ) -> T:
        deadline = time.monotonic() + self.timeout_s
        pause_s = PAUSE_S
        while True:
            url = self.urls[self._turn % len(self.urls)]
            try:
                return await self._try(method, url, path, cls, query, data)
            except CassiashiftError as exc:
                if exc.code not in LOST_ANSWER_CODES:
                    raise
                if time.monotonic() + pause_s > deadline:
                    raise
                self._turn += 1
                self.progress.update(f'no answer from {url}: {exc}')
            await asyncio.sleep(pause_s)
            pause_s = min(pause_s * 2, MAX_PAUSE_S)

    async def _try(
        self,
        method: str,
        url: str,
        path: str,
        cls: type[T],
        query: dict[str, str],
        data: bytes | None,
    ) -> T:
        headers = {
            'Authorization': f'Bearer {self.key}',
            'Content-Type': 'application/json',
        }
        timeout_s = min(TRY_TIMEOUT_S, max(self.timeout_s, 0.1))
        try:
            async with self.session.request(
                method,
                url + administration.PREFIX + path,
                params=query,
                data=data,
                headers=headers,
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as resp:
                body = await _bounded(resp)
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            raise _lost(method, url, exc) from exc
        if resp.status == 200:
            return _decoded(body, cls)
        raise _error(resp.status, body)


async def _bounded(resp: aiohttp.ClientResponse) -> bytes:
    pieces = []
    size = 0
    async for piece in resp.content.iter_any():
        size += len(piece)
        if size > MAX_ANSWER_BYTES:
            raise CassiashiftError(
                ErrorCode.BODY_TOO_LARGE, 'the answer is too large'
            )
        pieces.append(piece)
    return b''.join(pieces)


def _decoded(body: bytes, cls: type[T]) -> T:
    try:
        return msgspec.json.decode(body, type=cls)
    except (msgspec.DecodeError, RecursionError) as exc:
        raise CassiashiftError(
            ErrorCode.STREAM_BROKEN, f'the answer is not understood: {exc}'
        ) from exc


def _lost(method: str, url: str, exc: Exception) -> CassiashiftError:
    verdict = Verdict.NOT_RUN if method == 'GET' else Verdict.MAY_HAVE_RUN
    reason = str(exc) or type(exc).__name__
    return CassiashiftError(
        ErrorCode.NO_QUORUM, f'{url} gives no answer: {reason}', verdict
    )


@attrs.frozen
class _ErrorBody:
    code: ErrorCode
    message: str
    verdict: Verdict = Verdict.MAY_HAVE_RUN


@attrs.frozen
class _ErrorAnswer:
    error: _ErrorBody


def _error(status: int, body: bytes) -> CassiashiftError:
    try:
        error = msgspec.json.decode(body, type=_ErrorAnswer).error
    except (msgspec.DecodeError, RecursionError):
        code = ErrorCode.INTERNAL if status >= 500 else ErrorCode.NOT_FOUND
        return CassiashiftError(code, f'HTTP status {status}')
    return CassiashiftError(error.code, error.message, error.verdict)


def run(
    cfg: ClientSettings,
    action: Callable[[AdminClient], Awaitable[T]],
) -> T:
    """Run an action with a client and return its result."""

    async def with_client() -> T:
        context = tls.client_context(cfg.ca_file) if cfg.ca_file else None
        connector = aiohttp.TCPConnector(ssl=context or True)
        async with aiohttp.ClientSession(connector=connector) as session:
            return await action(AdminClient.from_config(cfg, session))

    return asyncio.run(with_client())
