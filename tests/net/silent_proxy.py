"""A TCP proxy whose connections fall silent for good, without a reset."""

import asyncio

import attrs


@attrs.define(eq=False)
class ProxiedConnection:
    """One connection through the proxy.

    Attributes:
        held: names of the directions, ``to_peer`` and ``from_peer``, that
            carry nothing more.
        is_closed: one of its ends has closed it.
    """

    held: set = attrs.field(factory=set)
    is_closed: bool = False
    tasks: list = attrs.field(factory=list)


@attrs.define(eq=False)
class SilentProxy:
    """Forwards bytes to one port; can hold those of open connections.

    Attributes:
        connections: all connections, in the order of their opening.
    """

    port: int
    connections: list = attrs.field(factory=list)
    _server: asyncio.Server | None = None

    async def open(self):
        """Listen; return the link address."""
        self._server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        return f'tcp://127.0.0.1:{self._server.sockets[0].getsockname()[1]}'

    def hold(self, directions):
        """Let the open connections carry nothing more in some directions."""
        for connection in self.connections:
            connection.held.update(directions)

    async def close(self):
        """Close all connections."""
        self._server.close()
        tasks = [task for item in self.connections for task in item.tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _accept(self, reader, writer):
        connection = ProxiedConnection()
        self.connections.append(connection)
        peer_reader, peer_writer = await asyncio.open_connection(
            '127.0.0.1', self.port
        )
        connection.tasks = [
            asyncio.ensure_future(
                self._forward(connection, name, source, target)
            )
            for name, source, target in (
                ('to_peer', reader, peer_writer),
                ('from_peer', peer_reader, writer),
            )
        ]

    async def _forward(self, connection, name, reader, writer):
        try:
            while data := await reader.read(65536):
                if name not in connection.held:
                    writer.write(data)
        except ConnectionError:
            pass
        finally:
            connection.is_closed = True
            writer.close()
