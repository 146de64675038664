"""A stand-in for a plain service with bookings and stock."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from aiohttp import web
import attrs
import msgspec

from tools.standins import records

REQUEST_ID_HEADER = 'X-Request-Id'


@attrs.define(eq=False)
class PlainService:
    """Executes every booking, also repeated ones, and counts them.

    Attributes:
        on_arrival: awaited with the booking's reference or the item, before
            a call runs.
    """

    name: str
    answer_s: float = 0.005
    record: records.Record = attrs.field(factory=records.Record)
    on_arrival: Callable[[str], Awaitable[None]] | None = None

    def app(self) -> web.Application:
        """Return the service's HTTP application."""
        app = web.Application()
        app.add_routes(
            [
                web.get('/health', self.health),
                web.get('/record', self.get_record),
                web.post('/bookings', self.book),
                web.get('/stock/{item}', self.get_stock),
            ]
        )
        return app

    async def health(self, req: web.Request) -> web.Response:
        """Report the service as healthy."""
        return web.json_response({})

    async def get_record(self, req: web.Request) -> web.Response:
        """Return the record of this service as JSON."""
        return web.json_response(attrs.asdict(self.record))

    async def book(self, req: web.Request) -> web.Response:
        """Count a booking and confirm it."""
        request_id = req.headers.get(REQUEST_ID_HEADER, '')
        body = msgspec.json.decode(await req.read())
        await self._arrive(body['reference'])
        self.record.count_run(request_id)
        self.record.count_booking(body['reference'])
        await asyncio.sleep(self.answer_s)
        return web.json_response(
            {'reference': body['reference'], 'booked': True},
            status=201,
            headers={REQUEST_ID_HEADER: request_id},
        )

    async def get_stock(self, req: web.Request) -> web.Response:
        """Return a stock count made from the item's name."""
        request_id = req.headers.get(REQUEST_ID_HEADER, '')
        item = req.match_info['item']
        await self._arrive(item)
        self.record.count_run(request_id)
        await asyncio.sleep(self.answer_s)
        return web.json_response(
            {'item': item, 'pallets': len(item)},
            headers={REQUEST_ID_HEADER: request_id},
        )

    async def _arrive(self, key: str) -> None:
        if self.on_arrival is not None:
            await self.on_arrival(key)
