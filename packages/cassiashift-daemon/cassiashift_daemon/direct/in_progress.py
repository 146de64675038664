"""The requests in progress at an entry."""

import asyncio
import time

from aiohttp import web
import attrs

from cassiashift_core import draining
from cassiashift_core import routes
from cassiashift_core import Verdict
from cassiashift_daemon.direct import calls
from cassiashift_daemon.direct import streams


@attrs.define(eq=False)
class Row:
    """One request, from its head until its answer is handed to the server.

    Attributes:
        id: its id, as the caller sent it.
        arrived_at: monotonic time at which its head was read.
        route: None until it is known.
        call: None until its body is read.
        relay: what relays its stream; None for other requests.
        is_delivered: its answer is complete and being handed over.
        has_caller_left: its connection has ended.
        scope: ends the request in whatever phase it is.
    """

    id: str
    arrived_at: float
    route: routes.Route | None = None
    call: calls.Call | None = None
    relay: streams.StreamRelay | None = None
    is_delivered: bool = False
    has_caller_left: bool = False
    scope: asyncio.Timeout = attrs.field(factory=lambda: asyncio.timeout(None))

    @property
    def verdict(self) -> Verdict:
        """Return whether the request may have run by now."""
        return Verdict.NOT_RUN if self.call is None else self.call.verdict

    @property
    def has_begun(self) -> bool:
        """Return whether the answer to the caller has begun."""
        is_relayed = self.relay is not None and self.relay.response is not None
        return is_relayed or self.is_delivered

    @property
    def phase(self) -> draining.Phase:
        """Return how far the request has come."""
        if self.has_begun:
            return draining.Phase.ANSWERING
        if self.call is None:
            return draining.Phase.READING
        if self.call.is_being_sent:
            return draining.Phase.SENT
        return draining.Phase.WAITING

    def expire(self) -> None:
        """Let the request end now, if it isn't ending already."""
        if not self.scope.expired():
            self.scope.reschedule(asyncio.get_running_loop().time())

    def begin_answer(self) -> None:
        """Take back an expiry that has not been delivered yet.

        It was meant for a request whose answer had not begun.
        """
        if self.scope.when() is not None and not self.scope.expired():
            self.scope.reschedule(None)

    def describe(self) -> draining.Unfinished:
        """Return what is known of the request now."""
        call, relay, route = self.call, self.relay, self.route
        described = draining.Unfinished(
            id=self.id,
            phase=self.phase,
            arrived_at=self.arrived_at,
            route='' if route is None else route.name,
            kind='' if route is None else route.kind.value,
            events=0 if relay is None else relay.reader.count,
        )
        if call is None:
            return described
        return attrs.evolve(
            described,
            # Nothing ends a request while its answer is handed over.
            ends_at=None if call.scope is None else call.ends_at,
            upstream=call.upstream_id,
            sends=len(call.log.attempts) + call.is_being_sent,
        )


@attrs.define(eq=False)
class RequestTable:
    """All requests in progress at an entry.

    Attributes:
        is_final: the process has reported its unfinished requests.
    """

    is_final: bool = False
    # A connection has one request at a time.
    _rows: dict[web.RequestHandler, Row] = attrs.field(factory=dict)

    def __len__(self) -> int:
        """Return the number of requests in progress."""
        return len(self._rows)

    def begin(self, id_: str, conn: web.RequestHandler) -> Row:
        """Add a request whose head was read now from a connection."""
        row = self._rows[conn] = Row(id_, time.monotonic())
        return row

    def end(self, conn: web.RequestHandler) -> None:
        """Remove a request whose answer is handed over or given up."""
        del self._rows[conn]

    def expire_all(self) -> None:
        """Let all requests end now."""
        for row in self._rows.values():
            row.expire()

    def unanswered(self) -> list[Row]:
        """Return the requests whose answer has not begun."""
        return [row for row in self._rows.values() if not row.has_begun]

    def record_lost(self, conn: web.RequestHandler) -> None:
        """Record that a connection has ended."""
        row = self._rows.get(conn)
        if row is not None:
            row.has_caller_left = True

    def unfinished(self) -> list[draining.Unfinished]:
        """Return a description of each request in progress."""
        return [row.describe() for row in self._rows.values()]
