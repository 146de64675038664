"""A caller: asks the directory, keeps the answer and sends calls."""

import asyncio
import time

import aiohttp
import attrs
import msgspec

DONE = '[DONE]'
OUTCOME_UNKNOWN = 'outcome_unknown'
RETRY_PAUSE_S = 0.05
CALL_TIMEOUT_S = 20.0


@attrs.define
class Reply:
    """What a caller got in the end.

    Attributes:
        verdict: over all tries: ``ran``, ``not_run``, ``may_have_run``.
        whole: the answer came whole and was the caller's own.
        cut: tries that ended in doubt before the last one.
        tries: requests sent for this call.
    """

    verdict: str = 'not_run'
    whole: bool = False
    status: int = 0
    code: str = ''
    body: bytes = b''
    tries: int = 0
    cut: int = 0
    seconds: float = 0.0


@attrs.define(eq=False)
class Caller:
    """One workspace's client.

    Attributes:
        known: addresses of entries to ask for the directory.
    """

    session: aiohttp.ClientSession
    workspace: str
    key: str
    known: list[str]
    _addresses: list[str] = attrs.field(factory=list)
    _expires_at: float = 0.0

    async def draft(self, model: str, prompt: str, tokens: int) -> Reply:
        """Ask for a streamed draft, again when it breaks off."""
        body = {
            'model': model,
            'stream': True,
            'max_tokens': tokens,
            'messages': [{'role': 'user', 'content': prompt}],
        }
        wanted = [f'{prompt[:24]}#{number}' for number in range(tokens)]
        return await self._until_answered(
            'POST',
            '/v1/chat/completions',
            msgspec.json.encode(body),
            {},
            lambda reply: _words(reply.body) == wanted,
        )

    async def book(self, service: str, reference: str) -> Reply:
        """Make a booking, at most once."""
        body = msgspec.json.encode({'reference': reference})
        return await self._until_answered(
            'POST',
            f'/v1/services/{service}/bookings',
            body,
            {'Idempotency-Key': reference},
            lambda reply: reference.encode() in reply.body,
        )

    async def check_stock(self, service: str, item: str) -> Reply:
        """Ask what is in stock."""
        return await self._until_answered(
            'GET',
            f'/v1/services/{service}/stock/{item}',
            b'',
            {},
            lambda reply: item.encode() in reply.body,
        )

    async def _until_answered(
        self, method, path, body, headers, is_own
    ) -> Reply:
        began = time.monotonic()
        reply = Reply()
        while time.monotonic() - began < CALL_TIMEOUT_S:
            addresses = await self._directory()
            address = addresses[reply.tries % len(addresses)]
            reply.tries += 1
            await self._send(address, method, path, body, headers, reply)
            if reply.verdict == 'ran':
                reply.whole = is_own(reply)
                break
            reply.cut += reply.verdict == 'may_have_run'
            if reply.code == OUTCOME_UNKNOWN:
                break
            self._expires_at = 0.0
            await asyncio.sleep(RETRY_PAUSE_S)
        if reply.verdict != 'ran' and reply.cut:
            reply.verdict = 'may_have_run'
        reply.seconds = time.monotonic() - began
        return reply

    async def _send(
        self, address, method, path, body, headers, reply: Reply
    ) -> None:
        all_headers = {
            'Authorization': f'Bearer {self.key}',
            'Content-Type': 'application/json',
            **headers,
        }
        try:
            async with self.session.request(
                method, address + path, data=body or None, headers=all_headers
            ) as resp:
                reply.verdict = 'may_have_run'
                reply.body = await resp.read()
                reply.status = resp.status
                reply.verdict = resp.headers.get(
                    'X-Cassiashift-Verdict', 'may_have_run'
                )
                reply.code = _code(resp.status, reply.body)
        except aiohttp.ClientConnectorError:
            reply.verdict = 'not_run'
        except (aiohttp.ClientError, TimeoutError):
            reply.verdict = 'may_have_run'

    async def _directory(self) -> list[str]:
        if time.monotonic() < self._expires_at:
            return self._addresses
        candidates = self._addresses + self.known
        while True:
            for address in candidates:
                try:
                    async with self.session.get(
                        f'{address}/v1/directory',
                        params={'workspace': self.workspace},
                        timeout=aiohttp.ClientTimeout(total=1.0),
                    ) as resp:
                        if resp.status != 200:
                            continue
                        answer = await resp.json()
                except (aiohttp.ClientError, TimeoutError):
                    continue
                self._addresses = answer['addresses']
                self._expires_at = time.monotonic() + answer['ttl_s']
                return self._addresses
            await asyncio.sleep(RETRY_PAUSE_S)


def _code(status: int, body: bytes) -> str:
    if status < 400:
        return ''
    try:
        return msgspec.json.decode(body)['error']['code']
    except (msgspec.DecodeError, KeyError, TypeError):
        return 'unknown'


def _words(body: bytes) -> list[str]:
    """Return the words of a stream; nothing if its end is missing."""
    words = []
    for line in body.decode('utf-8', 'replace').split('\n\n'):
        data = line.removeprefix('data: ')
        if data == DONE:
            return words
        if line.startswith('data: '):
            chunk = msgspec.json.decode(data)
            words.append(chunk['choices'][0]['delta']['content'].strip())
    return []
