"""Sends a query to several processes and waits for their answers."""

import asyncio
from collections.abc import Callable
import itertools
from typing import Any

import attrs

from cassiashift_net import links


@attrs.define(eq=False)
class _Query:
    """One query whose answers have not all arrived."""

    missing: int
    answers: list[Any] = attrs.field(factory=list)
    done: asyncio.Event = attrs.field(factory=asyncio.Event)


@attrs.define(eq=False)
class Gatherer:
    """Matches answers with queries by a token.

    Attributes:
        prefix: start of every token, different in each gatherer of a host.
    """

    prefix: str
    links: links.Links
    _queries: dict[str, _Query] = attrs.field(factory=dict)
    _numbers: Any = attrs.field(factory=itertools.count)

    async def ask(
        self,
        addresses: list[str],
        build_query: Callable[[str, str], Any],
        timeout_s: float,
    ) -> list[Any]:
        """Return the answers that arrive in time.

        Args:
            addresses: link addresses of the processes to query.
            build_query: returns the message for a token and an address.
            timeout_s: how long to wait for the last answer.
        """
        if not addresses:
            return []
        token = f'{self.prefix}/{next(self._numbers)}'
        query = _Query(len(addresses))
        self._queries[token] = query
        for address in addresses:
            self.links.send(address, build_query(token, address))
        try:
            async with asyncio.timeout(timeout_s):
                await query.done.wait()
        except TimeoutError:
            pass
        finally:
            del self._queries[token]
        return query.answers

    def received(self, message: Any) -> None:
        """Store an answer; one that arrives too late is dropped."""
        query = self._queries.get(message.token)
        if query is None:
            return
        query.answers.append(message)
        query.missing -= 1
        if query.missing == 0:
            query.done.set()
