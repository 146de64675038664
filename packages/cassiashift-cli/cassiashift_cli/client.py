"""HTTP client of the administration API, and its settings."""

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
ATTEMPT_TIMEOUT_S = 10.0
MIN_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 2.0
MAX_TIMEOUT_S = 86_400.0
MAX_ANSWER_BYTES = 64 * 1024 * 1024
RETRYABLE_CODES = (
    ErrorCode.DRAINING,
    ErrorCode.NOT_LEADER,
    ErrorCode.NO_QUORUM,
    ErrorCode.OUTCOME_UNKNOWN,
    ErrorCode.OVERLOADED,
)

T = TypeVar('T')


def _setting(name: str, text: str) -> cyclopts.Parameter:
    return cyclopts.Parameter(
        env_var=ENV_PREFIX + name.upper(), show_env_var=True, help=text
    )


@attrs.frozen(kw_only=True)
class ClientSettings:
    """Flags and environment variables for requests to the entries."""

    entry: Annotated[
        str,
        _setting('entry', 'URLs of entries, separated by commas.'),
    ] = 'http://127.0.0.1:7080'
    operator_key: Annotated[
        str, _setting('operator_key', 'The operator key.')
    ] = ''
    operator_key_file: Annotated[
        str,
        _setting(
            'operator_key_file',
            'File with the operator key; keeps it out of process lists.',
        ),
    ] = ''
    ca_file: Annotated[
        str, _setting('ca_file', 'File with the authority for https URLs.')
    ] = ''
    timeout_s: Annotated[
        float,
        _setting('timeout_s', 'Seconds to keep trying before giving up.'),
    ] = 30.0

    def entry_urls(self) -> tuple[str, ...]:
        """Return the URLs of ``entry``, without trailing slashes.

        Raises:
            CassiashiftError: there is none, or one is not an HTTP URL.
        """
        urls = [item.strip().rstrip('/') for item in self.entry.split(',')]
        nonempty_urls = tuple(url for url in urls if url)
        for url in nonempty_urls or ('',):
            if not url.startswith(('http://', 'https://')):
                raise CassiashiftError(
                    ErrorCode.BAD_REQUEST,
                    f'--entry (CASSIASHIFT_ENTRY): {url!r} is not a URL',
                )
        return nonempty_urls

    def read_key(self) -> str:
        """Return the operator key, from its file if none is given directly.

        Raises:
            CassiashiftError: no key is set, its file can't be read, or it
                holds characters that a header can't carry.
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
    """Sends requests to the entries in turn until one answers.

    Every request can be resent safely: a change carries a request id.
    """

    urls: tuple[str, ...]
    key: str
    timeout_s: float
    session: aiohttp.ClientSession
    progress: output.Progress = attrs.field(factory=output.Progress)
    _entry_index: int = 0

    @classmethod
    def from_config(
        cls, cfg: ClientSettings, session: aiohttp.ClientSession
    ) -> 'AdminClient':
        """Return a client for the settings of the command line.

        Raises:
            CassiashiftError: a setting is missing or out of range.
        """
        if not 0 < cfg.timeout_s <= MAX_TIMEOUT_S:
            raise CassiashiftError(
                ErrorCode.BAD_REQUEST,
                '--timeout-s (CASSIASHIFT_TIMEOUT_S): is not between 0 and'
                f' {MAX_TIMEOUT_S:.0f}',
            )
        return cls(cfg.entry_urls(), cfg.read_key(), cfg.timeout_s, session)

    async def get(self, path: str, cls: type[T], **query: str) -> T:
        """Return the decoded answer to a GET request."""
        return await self._send_with_retries('GET', path, cls, query, None)

    async def put(self, path: str, cls: type[T], body: Any) -> T:
        """Return the decoded answer to a PUT request."""
        data = msgspec.json.encode(body)
        return await self._send_with_retries('PUT', path, cls, {}, data)

    async def post(self, path: str, cls: type[T], body: Any) -> T:
        """Return the decoded answer to a POST request."""
        data = msgspec.json.encode(body)
        return await self._send_with_retries('POST', path, cls, {}, data)

    async def get_from(
        self, url: str, path: str, cls: type[T], **query: str
    ) -> T:
        """Return one entry's answer to a GET request, without retries."""
        return await self._send_once('GET', url, path, cls, query, None)

    async def post_to(self, url: str, path: str, cls: type[T], body: Any) -> T:
        """Return one entry's answer to a POST request, without retries."""
        data = msgspec.json.encode(body)
        return await self._send_once('POST', url, path, cls, {}, data)

    async def _send_with_retries(
        self,
        method: str,
        path: str,
        cls: type[T],
        query: dict[str, str],
        data: bytes | None,
    ) -> T:
        deadline = time.monotonic() + self.timeout_s
        delay_s = MIN_RETRY_DELAY_S
        while True:
            url = self.urls[self._entry_index % len(self.urls)]
            try:
                return await self._send_once(
                    method, url, path, cls, query, data
                )
            except CassiashiftError as exc:
                if exc.code not in RETRYABLE_CODES:
                    raise
                if time.monotonic() + delay_s > deadline:
                    raise
                self._entry_index += 1
                self.progress.update(f'no answer from {url}: {exc}')
            await asyncio.sleep(delay_s)
            delay_s = min(delay_s * 2, MAX_RETRY_DELAY_S)

    async def _send_once(
        self,
        method: str,
        url: str,
        path: str,
        cls: type[T],
        query: dict[str, str],
        data: bytes | None,
    ) -> T:
        headers = {'Content-Type': 'application/json'}
        if self.key:
            headers['Authorization'] = f'Bearer {self.key}'
        timeout_s = min(ATTEMPT_TIMEOUT_S, max(self.timeout_s, 0.1))
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
                body = await _read_bounded(resp)
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            raise _no_answer_error(method, url, exc) from exc
        if resp.status == 200:
            return _decode(body, cls)
        raise _parse_error(resp.status, body)


async def _read_bounded(resp: aiohttp.ClientResponse) -> bytes:
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


def _decode(body: bytes, cls: type[T]) -> T:
    try:
        return msgspec.json.decode(body, type=cls)
    except (msgspec.DecodeError, RecursionError) as exc:
        raise CassiashiftError(
            ErrorCode.STREAM_BROKEN, f'the answer is not understood: {exc}'
        ) from exc


def _no_answer_error(
    method: str, url: str, exc: Exception
) -> CassiashiftError:
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


def _parse_error(status: int, body: bytes) -> CassiashiftError:
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
    """Run an action on a new event loop with a client; return its result."""

    async def with_client() -> T:
        context = tls.client_context(cfg.ca_file) if cfg.ca_file else None
        connector = aiohttp.TCPConnector(ssl=context or True)
        async with aiohttp.ClientSession(connector=connector) as session:
            return await action(AdminClient.from_config(cfg, session))

    return asyncio.run(with_client())
