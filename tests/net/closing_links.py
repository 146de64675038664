"""Opens and closes links while their peers drop connections.

Prints ``received`` if another link of the same process still works afterwards.
It runs as a process of its own: with the fault that it tests for, the I/O
thread of ZeroMQ hangs and the process can't end by itself.
"""

import asyncio
import contextlib

from cassiashift_net import links
from cassiashift_net import messages

QUERY = messages.PoolQuery('drafting@1')
ROUNDS = 40
LINKS = 16
# The pauses close links in different phases of a connection attempt.
PAUSES_S = (0.0, 0.001, 0.004, 0.012)
TIMEOUT_S = 5.0


def _abort(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.transport.abort()


async def _start_aborting_servers(
    stack: contextlib.AsyncExitStack,
) -> list[str]:
    """Start servers that drop every connection; return their addresses."""
    addresses = []
    for _ in range(LINKS):
        server = await asyncio.start_server(_abort, '127.0.0.1', 0)
        await stack.enter_async_context(server)
        port = server.sockets[0].getsockname()[1]
        addresses.append(f'tcp://127.0.0.1:{port}')
    return addresses


async def _is_received(
    first: links.Links, address: str, received: asyncio.Event
) -> bool:
    """Return whether a message sent over a new link arrives."""
    received.clear()
    first.disconnect(address)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(TIMEOUT_S):
            while not received.is_set():
                first.send(address, QUERY)
                await asyncio.sleep(0.05)
    return received.is_set()


async def close_links() -> bool:
    """Close many links; return whether another one still works."""
    received = asyncio.Event()
    first = links.Links.from_config('first', lambda sender, message: None)
    second = links.Links.from_config(
        'second', lambda sender, message: received.set()
    )
    address = second.bind('tcp://127.0.0.1:*')
    async with contextlib.AsyncExitStack() as stack:
        peers = await _start_aborting_servers(stack)
        for number in range(ROUNDS):
            for peer in peers:
                first.send(peer, QUERY)
            await asyncio.sleep(PAUSES_S[number % len(PAUSES_S)])
            for peer in peers:
                first.disconnect(peer)
        return await _is_received(first, address, received)


if __name__ == '__main__':
    print(
        'received' if asyncio.run(close_links()) else 'not received',
        flush=True,
    )
