"""A stand-in for a model engine that streams chat completions."""

import asyncio

from aiohttp import web
import attrs
import msgspec

from tools.standins import records

REQUEST_ID_HEADER = 'X-Request-Id'
SSE_DONE = b'data: [DONE]\n\n'


@attrs.define(eq=False)
class Engine:
    """Answers a prompt with its first 24 characters, numbered by token.

    Attributes:
        first_token_s: delay before the first token.
        token_gap_s: delay after each piece; 0 sends without a pause.
        tokens_per_piece: tokens sent in one write.
        running: number of requests in progress.
    """

    name: str
    first_token_s: float = 0.005
    token_gap_s: float = 0.001
    tokens_per_piece: int = 1
    record: records.Record = attrs.field(factory=records.Record)
    running: int = 0

    def app(self) -> web.Application:
        """Return the engine's HTTP application."""
        app = web.Application()
        app.add_routes(
            [
                web.get('/health', self.health),
                web.get('/record', self.get_record),
                web.post('/v1/chat/completions', self.complete),
            ]
        )
        return app

    async def health(self, req: web.Request) -> web.Response:
        """Report the engine as healthy, with its requests in progress."""
        return web.json_response({'running': self.running})

    async def get_record(self, req: web.Request) -> web.Response:
        """Return the record of this engine as JSON."""
        return web.json_response(attrs.asdict(self.record))

    async def complete(self, req: web.Request) -> web.StreamResponse:
        """Answer a chat completion, streamed if the request asks for it."""
        request_id = req.headers.get(REQUEST_ID_HEADER, '')
        self.record.count_run(request_id)
        body = msgspec.json.decode(await req.read())
        count = int(body.get('max_tokens') or 16)
        self.running += 1
        try:
            await asyncio.sleep(self.first_token_s)
            if body.get('stream'):
                return await self._respond_stream(req, request_id, body, count)
            await asyncio.sleep(self.token_gap_s * count)
            return self._respond_whole(request_id, body, count)
        except (asyncio.CancelledError, ConnectionError):
            self.record.cut.append(request_id)
            raise
        finally:
            self.running -= 1

    def _respond_whole(
        self, request_id: str, body: dict, count: int
    ) -> web.Response:
        text = ' '.join(self._word(body, number) for number in range(count))
        answer = {
            'id': request_id,
            'object': 'chat.completion',
            'model': body.get('model'),
            'choices': [
                {
                    'index': 0,
                    'message': {'role': 'assistant', 'content': text},
                    'finish_reason': 'stop',
                }
            ],
            'usage': {'completion_tokens': count},
        }
        headers = {REQUEST_ID_HEADER: request_id}
        return web.json_response(answer, headers=headers)

    async def _respond_stream(
        self, req: web.Request, request_id: str, body: dict, count: int
    ) -> web.StreamResponse:
        resp = web.StreamResponse(
            headers={
                'Content-Type': 'text/event-stream',
                REQUEST_ID_HEADER: request_id,
            }
        )
        await resp.prepare(req)
        for start in range(0, count, self.tokens_per_piece):
            end = min(count, start + self.tokens_per_piece)
            piece = b''.join(
                self._encode_event(request_id, body, number)
                for number in range(start, end)
            )
            await resp.write(piece)
            if self.token_gap_s:
                await asyncio.sleep(self.token_gap_s)
        await resp.write(SSE_DONE)
        await resp.write_eof()
        return resp

    def _encode_event(self, request_id: str, body: dict, number: int) -> bytes:
        chunk = {
            'id': request_id,
            'object': 'chat.completion.chunk',
            'model': body.get('model'),
            'choices': [
                {
                    'index': 0,
                    'delta': {'content': self._word(body, number) + ' '},
                    'finish_reason': None,
                }
            ],
        }
        return b'data: ' + msgspec.json.encode(chunk) + b'\n\n'

    @staticmethod
    def _word(body: dict, number: int) -> str:
        prompt = body['messages'][-1]['content'] if body['messages'] else ''
        return f'{prompt[:24]}#{number}'
