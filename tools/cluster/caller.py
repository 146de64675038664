"""A client that caches the directory and resends failed calls."""

import asyncio
import time

import aiohttp
import attrs
import msgspec

STREAM_END = '[DONE]'
OUTCOME_UNKNOWN = 'outcome_unknown'
RETRY_DELAY_S = 0.05
CALL_TIMEOUT_S = 20.0


@attrs.define
class Reply:
    """The outcome of a call after all its tries.

    Attributes:
        verdict: of all tries together: ``ran``, ``not_run``, ``may_have_run``.
        is_complete: the answer is complete and belongs to this call.
        uncertain_tries: tries whose verdict was ``may_have_run``.
        tries: number of requests sent for this call.
    """

    verdict: str = 'not_run'
    is_complete: bool = False
    status: int = 0
    code: str = ''
    body: bytes = b''
    tries: int = 0
    uncertain_tries: int = 0
    seconds: float = 0.0


@attrs.define(eq=False)
class Caller:
    """A client of one workspace.

    Attributes:
        entry_urls: entries that are asked for the directory at first.
    """

    session: aiohttp.ClientSession
    workspace: str
    key: str
    entry_urls: list[str]
    _addresses: list[str] = attrs.field(factory=list)
    _expires_at: float = 0.0

    async def draft(self, model: str, prompt: str, tokens: int) -> Reply:
        """Request a streamed completion; resend it if the stream breaks."""
        body = {
            'model': model,
            'stream': True,
            'max_tokens': tokens,
            'messages': [{'role': 'user', 'content': prompt}],
        }
        expected_words = [
            f'{prompt[:24]}#{number}' for number in range(tokens)
        ]
        return await self._send_until_answered(
            'POST',
            '/v1/chat/completions',
            msgspec.json.encode(body),
            {},
            lambda reply: _stream_words(reply.body) == expected_words,
        )

    async def book(self, service: str, reference: str) -> Reply:
        """Make a booking; its reference is the idempotency key."""
        body = msgspec.json.encode({'reference': reference})
        return await self._send_until_answered(
            'POST',
            f'/v1/services/{service}/bookings',
            body,
            {'Idempotency-Key': reference},
            lambda reply: reference.encode() in reply.body,
        )

    async def check_stock(self, service: str, item: str) -> Reply:
        """Request the stock of an item; repeating it is harmless."""
        return await self._send_until_answered(
            'GET',
            f'/v1/services/{service}/stock/{item}',
            b'',
            {},
            lambda reply: item.encode() in reply.body,
        )

    async def _send_until_answered(
        self, method, path, body, headers, is_own_answer
    ) -> Reply:
        start_s = time.monotonic()
        reply = Reply()
        while time.monotonic() - start_s < CALL_TIMEOUT_S:
            addresses = await self._entry_addresses()
            address = addresses[reply.tries % len(addresses)]
            reply.tries += 1
            await self._send_once(address, method, path, body, headers, reply)
            if reply.verdict == 'ran':
                reply.is_complete = is_own_answer(reply)
                break
            reply.uncertain_tries += reply.verdict == 'may_have_run'
            if reply.code == OUTCOME_UNKNOWN:
                break
            self._expires_at = 0.0
            await asyncio.sleep(RETRY_DELAY_S)
        if reply.verdict != 'ran' and reply.uncertain_tries:
            reply.verdict = 'may_have_run'
        reply.seconds = time.monotonic() - start_s
        return reply

    async def _send_once(
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
                reply.code = _error_code(resp.status, reply.body)
        except aiohttp.ClientConnectorError:
            reply.verdict = 'not_run'
        except (aiohttp.ClientError, TimeoutError):
            reply.verdict = 'may_have_run'

    async def _entry_addresses(self) -> list[str]:
        if time.monotonic() < self._expires_at:
            return self._addresses
        candidates = self._addresses + self.entry_urls
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
            await asyncio.sleep(RETRY_DELAY_S)


def _error_code(status: int, body: bytes) -> str:
    if status < 400:
        return ''
    try:
        return msgspec.json.decode(body)['error']['code']
    except (msgspec.DecodeError, KeyError, TypeError):
        return 'unknown'


def _stream_words(body: bytes) -> list[str]:
    """Return the words of a stream, or nothing if it has no end mark."""
    words = []
    for line in body.decode('utf-8', 'replace').split('\n\n'):
        data = line.removeprefix('data: ')
        if data == STREAM_END:
            return words
        if line.startswith('data: '):
            chunk = msgspec.json.decode(data)
            words.append(chunk['choices'][0]['delta']['content'].strip())
    return []
