"""A stand-in for a plain service with bookings and stock."""

import asyncio

from aiohttp import web
import attrs
import msgspec

from tools.standins import records

REQUEST_ID_HEADER = 'X-Request-Id'


@attrs.define(eq=False)
class PlainService:
    """Books what it is told to, as often as it is told to."""

    name: str
    answer_s: float = 0.005
    record: records.Record = attrs.field(factory=records.Record)

    def app(self) -> web.Application:
        """Return the service's HTTP application."""
        app = web.Application()
        app.add_routes(
            [
                web.get('/health', self.health),
                web.get('/record', self.recorded),
                web.post('/bookings', self.book),
                web.get('/stock/{item}', self.stock),
            ]
        )
        return app

    async def health(self, req: web.Request) -> web.Response:
        """Tell that the service runs."""
        return web.json_response({})

    async def recorded(self, req: web.Request) -> web.Response:
        """Return what ran here."""
        return web.json_response(attrs.asdict(self.record))

    async def book(self, req: web.Request) -> web.Response:
        """Make a booking."""
        request_id = req.headers.get(REQUEST_ID_HEADER, '')
        body = msgspec.json.decode(await req.read())
        self.record.count_run(request_id)
        self.record.count_booking(body['reference'])
        await asyncio.sleep(self.answer_s)
        return web.json_response(
            {'reference': body['reference'], 'booked': True},
            status=201,
            headers={REQUEST_ID_HEADER: request_id},
        )

    async def stock(self, req: web.Request) -> web.Response:
        """Tell what is in stock."""
        request_id = req.headers.get(REQUEST_ID_HEADER, '')
        self.record.count_run(request_id)
        await asyncio.sleep(self.answer_s)
        item = req.match_info['item']
        return web.json_response(
            {'item': item, 'pallets': len(item)},
            headers={REQUEST_ID_HEADER: request_id},
        )
