"""Opens and closes links while their peers drop connections.

Run as a process of its own: when the fault that it looks for is there, the
process can't be ended from within. Prints ``heard`` if another link of the
same process still works afterwards.
"""

import asyncio
import contextlib

from cassiashift_net import links
from cassiashift_net import messages

QUESTION = messages.PoolQuery('drafting@1')
ROUNDS = 40
LINKS = 16
# Links are closed at different moments of a connection attempt.
PAUSES_S = (0.0, 0.001, 0.004, 0.012)
PATIENCE_S = 5.0


def _drop(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.transport.abort()


async def _dropping_peers(stack: contextlib.AsyncExitStack) -> list[str]:
    """Return the addresses of servers that drop every connection."""
    addresses = []
    for _ in range(LINKS):
        server = await asyncio.start_server(_drop, '127.0.0.1', 0)
        await stack.enter_async_context(server)
        port = server.sockets[0].getsockname()[1]
        addresses.append(f'tcp://127.0.0.1:{port}')
    return addresses


async def _is_heard(
    first: links.Links, address: str, heard: asyncio.Event
) -> bool:
    """Tell whether a new link to an address carries a message."""
    heard.clear()
    first.disconnect(address)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(PATIENCE_S):
            while not heard.is_set():
                first.send(address, QUESTION)
                await asyncio.sleep(0.05)
    return heard.is_set()


async def play() -> bool:
    """Return whether a link still works after many were closed."""
    heard = asyncio.Event()
    first = links.Links.from_config('first', lambda sender, message: None)
    second = links.Links.from_config(
        'second', lambda sender, message: heard.set()
    )
    address = second.bind('tcp://127.0.0.1:*')
    async with contextlib.AsyncExitStack() as stack:
        peers = await _dropping_peers(stack)
        for number in range(ROUNDS):
            for peer in peers:
                first.send(peer, QUESTION)
            await asyncio.sleep(PAUSES_S[number % len(PAUSES_S)])
            for peer in peers:
                first.disconnect(peer)
        return await _is_heard(first, address, heard)


if __name__ == '__main__':
    print('heard' if asyncio.run(play()) else 'deaf', flush=True)
