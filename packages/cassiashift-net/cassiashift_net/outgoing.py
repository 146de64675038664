"""An outgoing link, which replaces a connection that falls silent."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import functools
import math
import time
from typing import Any

from absl import logging
import attrs
import zmq

from cassiashift_core import linkhealth
from cassiashift_net import connections
from cassiashift_net import probes

STALE_AFTER_S = 1.0


@attrs.define(eq=False)
class OutgoingLink:
    """The connections to one peer; messages go over one of them.

    Attributes:
        create_socket: returns a socket for a connection, by its number.
        deliver: called with the frames of each message received.
        on_closed: called with the address and a monotonic time: answers to
            what was sent over this link before that time are lost. The time
            is infinite if the whole link is lost.
    """

    address: str
    loop: asyncio.AbstractEventLoop
    create_socket: Callable[[int], zmq.Socket]
    deliver: Callable[[str, list[bytes]], None]
    on_closed: Callable[[str, float], None]
    health: linkhealth.LinkHealth = attrs.field(factory=linkhealth.LinkHealth)
    _connections: dict[int, connections.Connection] = attrs.field(factory=dict)
    _current: connections.Connection = attrs.field(init=False)
    _timer: asyncio.Handle | None = None
    _timer_at: float = 0.0

    def __attrs_post_init__(self) -> None:
        """Open the first connection."""
        self._current = self._open(0)

    @property
    def connected(self) -> asyncio.Event:
        """Return an event that is set once the peer has been reached."""
        return self._current.connected

    def is_stale(self) -> bool:
        """Return whether no connection succeeded within ``STALE_AFTER_S``."""
        age_s = time.monotonic() - self._current.opened_at
        return not self.connected.is_set() and age_s > STALE_AFTER_S

    def send(self, frames: Sequence[bytes]) -> None:
        """Queue a message.

        Raises:
            zmq.ZMQError: the socket does not accept it.
        """
        self._transmit(self._current, frames)
        self._carry_out(self.health.record_sent(time.monotonic()))

    def close(self) -> None:
        """Close the link; drop the messages that are still queued in it."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        for number in list(self._connections):
            self._close(number)

    def _open(self, number: int) -> connections.Connection:
        sock = self.create_socket(number)
        try:
            connection = connections.Connection.connect(
                sock,
                self.address,
                self.loop,
                functools.partial(self._receive, number),
                functools.partial(self._handle_lost, number),
            )
        except zmq.ZMQError:
            sock.close(linger=0)
            raise
        self._connections[number] = connection
        return connection

    def _close(self, number: int) -> float | None:
        """Close a connection; return when it was replaced, if it was."""
        connection = self._connections.pop(number, None)
        if connection is None:
            return None
        connection.close()
        return connection.replaced_at

    def _transmit(
        self, connection: connections.Connection, frames: Sequence[bytes]
    ) -> None:
        try:
            connection.port.sock.send_multipart(frames, zmq.NOBLOCK)
        finally:
            connection.port.schedule()

    def _receive(self, number: int, sock: zmq.Socket) -> None:
        frames = sock.recv_multipart(zmq.NOBLOCK)
        if not probes.is_answer(frames):
            self.deliver(self.address, frames)
            return
        try:
            token = probes.answered_token(frames)
        except probes.MalformedProbeError as exc:
            self._log('link_closed', reason=str(exc))
            self._handle_lost(number)
            return
        self._carry_out(
            self.health.record_answer(number, token, time.monotonic())
        )

    def _handle_lost(self, number: int) -> None:
        if self._connections.get(number) is self._current:
            self.on_closed(self.address, math.inf)
            return
        self._report_closed(self._close(number))

    def _report_closed(self, replaced_at: float | None) -> None:
        if replaced_at is not None:
            self.on_closed(self.address, replaced_at)

    def _check(self) -> None:
        """Read what has arrived, then judge what is late."""
        self._timer = None
        for connection in list(self._connections.values()):
            connection.port.receive_batch()
        if self._connections:
            self._carry_out(self.health.tick(time.monotonic()))

    def _carry_out(self, effects: list[linkhealth.Effect]) -> None:
        for effect in effects:
            self._apply(effect)
        next_tick = self.health.next_tick
        if next_tick is None or not self._connections:
            return
        if self._timer is not None:
            if self._timer_at <= next_tick:
                return
            self._timer.cancel()
        self._timer_at = next_tick
        delay_s = max(0.0, next_tick - time.monotonic())
        self._timer = self.loop.call_later(delay_s, self._check)

    @functools.singledispatchmethod
    def _apply(self, effect: Any) -> None:
        raise TypeError(f'unknown effect {type(effect).__name__}')

    @_apply.register
    def _(self, effect: linkhealth.SendProbe) -> None:
        connection = self._connections.get(effect.connection)
        if connection is None:
            return
        try:
            self._transmit(connection, probes.probe_frames(effect.token))
        except zmq.ZMQError as exc:
            # The missing answer tells.
            self._log('probe_not_sent', reason=str(exc))

    @_apply.register
    def _(self, effect: linkhealth.Open) -> None:
        self._log('link_doubted', connection=effect.connection)
        try:
            self._open(effect.connection)
        except zmq.ZMQError as exc:
            self._log('link_not_opened', reason=str(exc))

    @_apply.register
    def _(self, effect: linkhealth.Switch) -> None:
        self._log('link_replaced', connection=effect.connection)
        self._current.replaced_at = time.monotonic()
        self._current = self._connections[effect.connection]

    @_apply.register
    def _(self, effect: linkhealth.Close) -> None:
        self._report_closed(self._close(effect.connection))

    @_apply.register
    def _(self, effect: linkhealth.GiveUp) -> None:
        self._log('link_given_up', reason='the peer is silent')
        self.on_closed(self.address, math.inf)

    def _log(self, event: str, **fields: Any) -> None:
        text = ' '.join(f'{name}={value!r}' for name, value in fields.items())
        logging.warning('event=%s peer=%r %s', event, self.address, text)
