"""Gives each message to the handler of its type."""

from collections.abc import Callable
from typing import Any

import attrs

from cassiashift_daemon import logs
from cassiashift_net import links

Handler = Callable[[links.Sender, Any], None]


@attrs.define(eq=False)
class Dispatcher:
    """Handlers by message type; a type without one is dropped."""

    unwanted: int = 0
    _handlers: dict[type, Handler] = attrs.field(factory=dict)

    def register(self, cls: type, handler: Handler) -> None:
        """Have messages of a type handled."""
        if cls in self._handlers:
            raise ValueError(f'{cls.__name__} has a handler')
        self._handlers[cls] = handler

    def dispatch(self, sender: links.Sender, message: Any) -> None:
        """Handle a message."""
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
