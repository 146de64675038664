"""The route table in force in this process; its version never falls."""

import asyncio
import time
import zlib

import attrs

from cassiashift_core import fleet
from cassiashift_core import routes
from cassiashift_daemon.direct import dialect
from cassiashift_daemon import logs


def pack(content: bytes) -> bytes:
    """Compress an operator's bytes for the log and the links."""
    return zlib.compress(content, 1)


@attrs.define(eq=False)
class TableHolder:
    """Holds the newest configuration that this process was given.

    Attributes:
        table: None until a configuration is known.
        content: the operator's bytes of it.
        since: monotonic time at which it came into force here.
    """

    dialect: dialect.Dialect
    table: routes.RouteTable | None = None
    document: fleet.Document = fleet.Document()
    content: bytes = b''
    since: float = 0.0
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def version(self) -> int:
        """Return the version in force; 0 for none."""
        return self.document.version

    def offer(self, document: fleet.Document) -> bool:
        """Put a committed configuration in force unless it is older.

        Returns:
            whether it is newer than what was in force.
        """
        if document.version <= self.version:
            return False
        content = zlib.decompress(document.body)
        self.table = self.dialect.decode_document(content)
        self.document = document
        self.content = content
        self.since = time.monotonic()
        logs.info(
            'configuration_in_force',
            version=document.version,
            routes=len(self.table.routes),
            workspaces=len(self.table.workspaces),
        )
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return True

    async def wait_for(self, version: int, timeout_s: float) -> bool:
        """Wait until at least a version is in force; tell whether it is."""
        try:
            async with asyncio.timeout(timeout_s):
                while self.version < version:
                    await self._changed.wait()
        except TimeoutError:
            return False
        return True
