"""Asks several processes at once and waits a bounded time for answers."""

import asyncio
from collections.abc import Callable
import itertools
from typing import Any

import attrs

from cassiashift_net import links


@attrs.define(eq=False)
class _Round:
    """One question whose answers are still coming."""

    missing: int
    answers: list[Any] = attrs.field(factory=list)
    done: asyncio.Event = attrs.field(factory=asyncio.Event)


@attrs.define(eq=False)
class Gatherer:
    """Matches answers with questions by a token.

    Attributes:
        prefix: begins every token; differs between gatherers of a host.
    """

    prefix: str
    links: links.Links
    _rounds: dict[str, _Round] = attrs.field(factory=dict)
    _numbers: Any = attrs.field(factory=itertools.count)

    async def ask(
        self,
        addresses: list[str],
        question: Callable[[str, str], Any],
        timeout_s: float,
    ) -> list[Any]:
        """Return the answers that came in time.

        Args:
            addresses: whom to ask.
            question: makes the message for a token and an address.
            timeout_s: how long to wait.
        """
        if not addresses:
            return []
        token = f'{self.prefix}/{next(self._numbers)}'
        current = _Round(len(addresses))
        self._rounds[token] = current
        for address in addresses:
            self.links.send(address, question(token, address))
        try:
            async with asyncio.timeout(timeout_s):
                await current.done.wait()
        except TimeoutError:
            pass
        finally:
            del self._rounds[token]
        return current.answers

    def received(self, message: Any) -> None:
        """Take an answer; one that comes too late is dropped."""
        current = self._rounds.get(message.token)
        if current is None:
            return
        current.answers.append(message)
        current.missing -= 1
        if current.missing == 0:
            current.done.set()
