"""The calls in progress at an entry that calls through agents."""

import asyncio
import time

import attrs

from cassiashift_core import draining
from cassiashift_daemon import calls


@attrs.define(eq=False)
class Row:
    """One HTTP request, from its head until its answer is handed over.

    Attributes:
        id: id of the request.
        arrived_at: monotonic time at which its head was read.
        call: None until its body is read and checked.
        scope: ends the request when the process can't wait any longer.
    """

    id: str
    arrived_at: float = attrs.field(factory=time.monotonic)
    call: calls.Call | None = None
    scope: asyncio.Timeout | None = None

    @property
    def is_expired(self) -> bool:
        """Return whether the process can't wait for it any longer."""
        return self.scope is not None and self.scope.expired()

    @property
    def phase(self) -> draining.Phase:
        """Return how far the request has come."""
        if self.call is None:
            return draining.Phase.READING
        progress = self.call.progress
        if progress.has_begun:
            return draining.Phase.ANSWERING
        if progress.is_being_sent:
            return draining.Phase.SENT
        return draining.Phase.WAITING

    def describe(self) -> draining.Unfinished:
        """Return what is known of the request now."""
        if self.call is None:
            return draining.Unfinished(self.id, self.phase, self.arrived_at)
        progress = self.call.progress
        return draining.Unfinished(
            id=self.id,
            phase=self.phase,
            arrived_at=self.arrived_at,
            # Nothing ends a stream that has begun.
            ends_at=None if progress.has_begun else self.call.deadline,
            route=self.call.pool,
            kind=draining.kind_of_call(self.call.idempotent),
            upstream=progress.upstream,
            sends=progress.sends,
            events=progress.chunks,
        )


@attrs.define(eq=False)
class CallTable:
    """All HTTP requests in progress at an entry."""

    _rows: set[Row] = attrs.field(factory=set)

    def __len__(self) -> int:
        """Return the number of requests in progress."""
        return len(self._rows)

    def begin(self, id_: str) -> Row:
        """Add a request whose head was read now."""
        row = Row(id_)
        self._rows.add(row)
        return row

    def end(self, row: Row) -> None:
        """Remove a request whose answer is handed over or given up."""
        self._rows.discard(row)

    def rows(self) -> set[Row]:
        """Return the rows of the requests in progress."""
        return set(self._rows)
