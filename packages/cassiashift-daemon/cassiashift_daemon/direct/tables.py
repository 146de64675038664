"""The route table in force in this process; its version never decreases."""

import asyncio
from collections.abc import Callable
import time
import zlib

import attrs

from cassiashift_core import fleet
from cassiashift_core import routes
from cassiashift_daemon.direct import dialect
from cassiashift_daemon import logs


def compress(content: bytes) -> bytes:
    """Compress a configuration for the log and the links."""
    return zlib.compress(content, 1)


@attrs.define(eq=False)
class TableHolder:
    """Holds the newest configuration that this process has received.

    Attributes:
        table: the decoded configuration; None until there is one.
        content: the configuration as the operator sent it.
        since: monotonic time at which it came into force here.
        on_table: called with each table that comes into force.
    """

    dialect: dialect.Dialect
    table: routes.RouteTable | None = None
    document: fleet.Document = fleet.Document()
    content: bytes = b''
    since: float = 0.0
    on_table: Callable[[routes.RouteTable], None] = lambda table: None
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def version(self) -> int:
        """Return the version in force; 0 for none."""
        return self.document.version

    def engine(self, service_name: str) -> routes.Engine | None:
        """Return the engine of a service; None if it has none."""
        service = self.table and self.table.service(service_name)
        return service.engine if service else None

    def apply_if_newer(self, document: fleet.Document, source: str) -> bool:
        """Apply a committed configuration if it is newer.

        Args:
            source: where it came from, for the log: ``log`` or a host.

        Returns:
            whether it was newer than the one in force.
        """
        if document.version <= self.version:
            return False
        content = zlib.decompress(document.body)
        self.table = self.dialect.decode_document(content)
        self.document = document
        self.content = content
        self.since = time.monotonic()
        self.on_table(self.table)
        logs.info(
            'configuration_in_force',
            version=document.version,
            source=source,
            routes=len(self.table.routes),
            workspaces=len(self.table.workspaces),
        )
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return True

    async def wait_for(self, version: int, timeout_s: float) -> bool:
        """Wait until a version or a later one is in force.

        Returns:
            False if it is not within the timeout.
        """
        try:
            async with asyncio.timeout(timeout_s):
                while self.version < version:
                    await self._changed.wait()
        except TimeoutError:
            return False
        return True
