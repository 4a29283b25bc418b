"""Keep the router's connections to each server within its part of the server's total."""

from collections.abc import Awaitable, Callable, Hashable
from dataclasses import dataclass, field

from result import Err, Ok, Result

from nutmeglead.http.client import connect as open_connection
from nutmeglead.http.errors import ConnectFailed
from nutmeglead.routing.errors import ConnectionsUsedUp, RequestError, ServerUnreachable
from nutmeglead.routing.exchange import BackendConnection
from nutmeglead.routing.sources import BackendAddress

__all__ = ["CONNECT_TIMEOUT_MS", "ConnectionPool", "Connector", "connect_tcp"]

# A connection costs about 1 ms, and a lost SYN is sent again after 1 s; later the server is gone.
CONNECT_TIMEOUT_MS = 1500

Connector = Callable[[BackendAddress], Awaitable[Result[BackendConnection, ConnectFailed]]]


async def connect_tcp(address: BackendAddress) -> Result[BackendConnection, ConnectFailed]:
    """Open a TCP connection."""
    opened = await open_connection(address.ip, address.port, CONNECT_TIMEOUT_MS)
    if isinstance(opened, Err):
        return opened
    return Ok(opened.ok_value)


@dataclass
class _ServerConnections:
    address: BackendAddress
    open_count: int = 0
    idle: list[BackendConnection] = field(default_factory=list)


class ConnectionPool:
    """Lend connections to exchanges, one exchange at a time each."""

    def __init__(self, connector: Connector = connect_tcp) -> None:
        self._connector = connector
        self._servers: dict[Hashable, _ServerConnections] = {}

    def open_count(self, server: Hashable) -> int:
        """Count the connections to a server, idle, in use or being opened."""
        connections = self._servers.get(server)
        return connections.open_count if connections else 0

    async def acquire(
        self, server: Hashable, address: BackendAddress, max_count: int
    ) -> Result[BackendConnection, RequestError]:
        """Return an idle connection that is still clean, or open one."""
        connections = self._at(server, address)
        while connections.idle:
            # The connection used last is the least likely to have been closed by the server.
            connection = connections.idle.pop()
            if connection.is_reusable:
                return Ok(connection)
            self._drop(connections, connection)
        return await self._open(connections, max_count)

    def _at(self, server: Hashable, address: BackendAddress) -> _ServerConnections:
        connections = self._servers.get(server)
        if connections is None:
            connections = self._servers[server] = _ServerConnections(address)
        if connections.address != address:
            connections.address = address
            self._close_idle(connections)
        return connections

    async def _open(
        self, connections: _ServerConnections, max_count: int
    ) -> Result[BackendConnection, RequestError]:
        if connections.open_count >= max_count:
            return Err(ConnectionsUsedUp(f"{max_count} connections to the server are open"))
        connections.open_count += 1
        opened: Result[BackendConnection, ConnectFailed] | None = None
        try:
            opened = await self._connector(connections.address)
        finally:
            if not isinstance(opened, Ok):
                connections.open_count -= 1
        if isinstance(opened, Err):
            return Err(ServerUnreachable(str(opened.err_value)))
        return Ok(opened.ok_value)

    def give_back(
        self,
        server: Hashable,
        address: BackendAddress,
        connection: BackendConnection,
        clean: bool,
        max_count: int,
    ) -> None:
        """Take a connection back after its exchange; one that is not clean is closed.

        One above `max_count` is closed too, because the share falls when a router is added.
        """
        connections = self._servers[server]
        has_room = connections.open_count <= max_count
        if clean and has_room and connections.address == address:
            connections.idle.append(connection)
        else:
            self._drop(connections, connection)

    def _drop(self, connections: _ServerConnections, connection: BackendConnection) -> None:
        connections.open_count -= 1
        connection.abort()

    def _close_idle(self, connections: _ServerConnections) -> None:
        while connections.idle:
            self._drop(connections, connections.idle.pop())

    async def warm_up(
        self, server: Hashable, address: BackendAddress, idle_count: int, max_count: int
    ) -> int:
        """Open connections before a move sends requests; return how many were opened."""
        connections = self._at(server, address)
        opened_count = 0
        while len(connections.idle) < idle_count:
            opened = await self._open(connections, max_count)
            if isinstance(opened, Err):
                break
            self.give_back(server, address, opened.ok_value, True, max_count)
            opened_count += 1
        return opened_count

    def retain(self, is_known: Callable[[Hashable], bool]) -> None:
        """Close the idle connections to servers that are not known any more."""
        for server in list(self._servers):
            if is_known(server):
                continue
            self._close_idle(self._servers[server])
            if not self._servers[server].open_count:
                del self._servers[server]

    def close(self) -> None:
        """Close all idle connections."""
        for connections in self._servers.values():
            self._close_idle(connections)
