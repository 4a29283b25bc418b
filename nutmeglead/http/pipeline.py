"""HTTP/1.1 server that handles pipelined requests concurrently and answers them in order.

Each request has its own h11 parser, which starts with the bytes that follow the previous request.
A request can therefore be handled while earlier ones still wait for their responses.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from nutmeglead.core.clock import Clock
from nutmeglead.http.ahead_limit import AheadLimit
from nutmeglead.http.caller_connection import CallerConnection
from nutmeglead.http.connection_ends import ConnectionEnds
from nutmeglead.http.connection_limit import ConnectionLimit, SocketBounds
from nutmeglead.http.exchange import CallerExchange, CallerLimits
from nutmeglead.http.held_bytes import HeldBytes
from nutmeglead.http.read_ahead import MAX_PIPELINE_DEPTH
from nutmeglead.http.slow_readers import SlowReaderWatch
from nutmeglead.http.sockets import ACCEPT_BATCH, read_arrivals, set_listen_backlog

__all__ = ["CutOff", "PipelineServer"]

# While the server waits for its connections to end, it closes idle ones at this interval.
IDLE_CHECK_INTERVAL_MS = 200
# Passes of the event loop in which the answers that are due are sent to a caller. At a deadline,
# what a server has sent is looked at first; then each answer waits for the one before it.
DUE_ANSWER_PASSES = 20 + 4 * MAX_PIPELINE_DEPTH

Handler = Callable[[CallerExchange], Awaitable[None]]


@dataclass(frozen=True)
class CutOff:
    """Count the connections that were aborted with exchanges in progress, and those exchanges."""

    connections: int = 0
    exchanges: int = 0


class PipelineServer:
    """Server that listens on one address and runs a handler for each request.

    `limits` is called for every request, so that changed limits apply to open connections too.
    """

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], CallerLimits],
        clock: Clock,
        held: HeldBytes | None = None,
        sockets: SocketBounds | None = None,
    ) -> None:
        """`held` is shared by the servers of a process; None bounds this server alone."""
        sockets = sockets or SocketBounds()
        self.handler = handler
        self.limits = limits
        self.clock = clock
        self.held = held or HeldBytes()
        self.ends = ConnectionEnds(clock)
        self.slow_readers = SlowReaderWatch(self.held, clock)
        self.connection_limit = ConnectionLimit(self.held, clock, sockets.max_callers)
        self.is_stopping = False
        # From then on, a connection with an exchange in progress takes no further request.
        self.has_stopped_listening = False
        self.connections: set[CallerConnection] = set()
        self.ahead_limit = AheadLimit(self.held, self.connections, sockets.max_total)
        self._server: asyncio.Server | None = None

    async def start(self, ip: str, port: int) -> int:
        """Listen on the address and return its port, chosen by the system if `port` is 0."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self), ip, port, backlog=ACCEPT_BATCH
        )
        set_listen_backlog(self._server)
        return int(self._server.sockets[0].getsockname()[1])

    def begin_stop(self) -> None:
        """Answer further requests, but close each connection after its latest one is answered."""
        self.is_stopping = True
        self.ends.begin_stop()

    async def stop_listening(self) -> None:
        """Stop listening without cutting off requests that have arrived; close idle connections.

        The kernel resets connections that wait to be accepted when their port is closed, and those
        that are closed before their bytes are read. A connection in use ends with the answer to the
        latest request that was read; its caller may always have sent another one by then.
        """
        await read_arrivals()
        self._close_port()
        await read_arrivals()
        self.has_stopped_listening = True
        for connection in list(self.connections):
            connection.end_reading_ahead()
        self._close_idle_connections()

    def _close_port(self) -> None:
        if self._server is not None:
            self._server.close()

    def _close_idle_connections(self) -> None:
        for connection in list(self.connections):
            connection.close_if_idle()

    async def wait_closed(self, timeout_ms: int) -> CutOff:
        """Wait up to `timeout_ms` for the connections to end, then abort those that remain."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + timeout_ms / 1000
        while (remaining_s := end_s - loop.time()) > 0 and self.connections:
            tasks = [connection.task for connection in self.connections if connection.task]
            await asyncio.wait(tasks, timeout=min(remaining_s, IDLE_CHECK_INTERVAL_MS / 1000))
            # A connection that was accepted last may bring no request.
            self._close_idle_connections()
        await self._send_due_answers()
        counts = [connection.cut_off() for connection in list(self.connections)]
        return CutOff(sum(count > 0 for count in counts), sum(counts))

    async def _send_due_answers(self) -> None:
        """Let the handlers act on what arrived or became due while the event loop stood still."""
        for _ in range(DUE_ANSWER_PASSES):
            if not any(connection.is_busy for connection in self.connections):
                break
            await asyncio.sleep(0)

    async def close(self) -> None:
        """Stop listening and abort all connections, including those with running exchanges."""
        self._close_port()
        await self.wait_closed(0)
