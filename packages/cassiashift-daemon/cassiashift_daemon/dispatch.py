"""Passes each received message to the handler of its type."""

from collections.abc import Callable
from typing import Any

import attrs

from cassiashift_daemon import logs
from cassiashift_net import links

Handler = Callable[[links.Sender, Any], None]


@attrs.define(eq=False)
class Dispatcher:
    """Handlers by message type.

    Attributes:
        unwanted: messages dropped since their type has no handler.
    """

    unwanted: int = 0
    _handlers: dict[type, Handler] = attrs.field(factory=dict)

    def register(self, cls: type, handler: Handler) -> None:
        """Set the handler of a message type.

        Raises:
            ValueError: the type has a handler already.
        """
        if cls in self._handlers:
            raise ValueError(f'{cls.__name__} has a handler already')
        self._handlers[cls] = handler

    def dispatch(self, sender: links.Sender, message: Any) -> None:
        """Call the handler of a message; log and drop it without one."""
        handler = self._handlers.get(type(message))
        if handler is None:
            self.unwanted += 1
            logs.warning(
                'message_unwanted',
                peer=sender.host,
                message=type(message).__name__,
            )
            return
        handler(sender, message)
