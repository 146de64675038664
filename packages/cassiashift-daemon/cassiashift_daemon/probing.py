"""Finds out whether an upstream that broke off an answer has crashed."""

import asyncio
import contextlib

# The process of an upstream that broke off an answer may end a moment later.
PROBE_DELAYS_S = (0.0, 0.05)
PROBE_TIMEOUT_S = 0.3


async def has_crashed(address: str) -> bool:
    """Return whether no process listens at an address, ``IP:PORT``."""
    for delay_s in PROBE_DELAYS_S:
        await asyncio.sleep(delay_s)
        if await _refuses_connections(address):
            return True
    return False


async def _refuses_connections(address: str) -> bool:
    host, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        # Silence may have other causes, such as a lost path.
        return False
    writer.close()
    with contextlib.suppress(OSError):
        await writer.wait_closed()
    return False
