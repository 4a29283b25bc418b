"""Connect the parts of an emulated deployment: streams and datagrams in memory, with faults.

A part belongs to the host whose address is set in `HOST` when it is started; tasks inherit it. A
connection that a fault holds up delivers its bytes when the fault ends, as TCP does.
"""

from __future__ import annotations

import asyncio
import contextvars
import random
from collections import deque
from collections.abc import Callable
from typing import Any

from nutmeglead.emulator.virtual_time import VirtualLoop

__all__ = ["HOST", "EmulatedLoop", "Network"]

# Address of the host that runs the present task.
HOST: contextvars.ContextVar[str] = contextvars.ContextVar("host", default="")

# Bytes on the way and unread, above which the sender has to wait.
WINDOW_BYTES = 262_144
# A connection that a fault keeps from being established is given up by its caller's own timeout.
FOREVER_S = 86_400.0

Address = tuple[str, int]


class Network:
    """Hold the listeners, the delays and the faults."""

    def __init__(self, loop: EmulatedLoop, rng: random.Random) -> None:
        self.loop = loop
        self.listeners: dict[Address, _Listener] = {}
        self.endpoints: dict[Address, _Endpoint] = {}
        self.streams: set[_Stream] = set()
        self.one_way_ms: Callable[[str, str], float] = lambda sender, receiver: 0.25
        # Hosts that neither send nor receive anything, and pairs between which nothing passes.
        self.dark: set[str] = set()
        self.cuts: set[tuple[str, str]] = set()
        self.datagram_loss = 0.0
        self._rng = rng
        self._held: list[tuple[_Stream, Callable[[], None]]] = []

    def is_cut(self, sender: str, receiver: str) -> bool:
        """Tell whether nothing passes from one host to another now."""
        return (
            sender in self.dark or receiver in self.dark or (sender, receiver) in self.cuts
        ) and sender != receiver

    def cut(self, one: str, other: str) -> None:
        """Let nothing pass between two hosts, in either direction."""
        self.cuts |= {(one, other), (other, one)}

    def heal(self) -> None:
        """Deliver what was held up, after a fault was taken back."""
        held, self._held = self._held, []
        for stream, deliver in held:
            stream.pass_on(deliver)

    def hold(self, stream: _Stream, deliver: Callable[[], None]) -> None:
        """Keep bytes until the fault between two hosts ends."""
        self._held.append((stream, deliver))

    def end_host(self, ip: str) -> None:
        """End a host's process: its ports close, and its peers get a reset."""
        for address in [address for address in self.listeners if address[0] == ip]:
            del self.listeners[address]
        for address in [address for address in self.endpoints if address[0] == ip]:
            del self.endpoints[address]
        for stream in [stream for stream in self.streams if stream.ip == ip]:
            stream.abort()

    def delay_s(self, sender: str, receiver: str) -> float:
        """Return the one-way delay."""
        return self.one_way_ms(sender, receiver) / 1000

    def send_datagram(self, data: bytes, sender: Address, receiver: Address) -> None:
        """Deliver a datagram, or lose it."""
        if self.is_cut(sender[0], receiver[0]) or self._rng.random() < self.datagram_loss:
            return
        delay_s = self.delay_s(sender[0], receiver[0])
        self.loop.call_later(delay_s, self._arrive, data, sender, receiver)

    def _arrive(self, data: bytes, sender: Address, receiver: Address) -> None:
        endpoint = self.endpoints.get(receiver)
        if endpoint is not None and not self.is_cut(sender[0], receiver[0]):
            endpoint.context.run(endpoint.protocol.datagram_received, data, sender)


class _Stream(asyncio.Transport):
    """Be one end of a connection."""

    def __init__(self, network: Network, ip: str, protocol: Any, peer_ip: str) -> None:
        super().__init__()
        self.ip = ip
        self.peer_ip = peer_ip
        self.protocol = protocol
        self.context = contextvars.copy_context()
        self.peer: _Stream | None = None
        self._network = network
        self._arrived_at_s = 0.0
        self._is_closing = False
        self._is_lost = False
        self._is_paused = False
        self._unread: deque[bytes] = deque()
        self._unread_bytes = 0
        self._on_the_way = 0
        self._eof_arrived = False
        self._peer_waits = False
        network.streams.add(self)

    # ---- asyncio.Transport ----

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return {"peername": (self.peer_ip, 0), "sockname": (self.ip, 0)}.get(name, default)

    def is_closing(self) -> bool:
        return self._is_closing

    def is_reading(self) -> bool:
        return not self._is_paused

    def pause_reading(self) -> None:
        self._is_paused = True

    def resume_reading(self) -> None:
        self._is_paused = False
        self._read_on()

    def write(self, data: bytes | bytearray | memoryview) -> None:
        if self._is_closing or not data:
            return
        peer, copied = self._peer(), bytes(data)
        peer._on_the_way += len(copied)
        self.pass_on(lambda: peer._receive(copied))
        if peer._on_the_way + peer._unread_bytes > WINDOW_BYTES and not peer._peer_waits:
            peer._peer_waits = True
            self.protocol.pause_writing()

    def write_eof(self) -> None:
        self.pass_on(self._peer()._receive_eof)

    def can_write_eof(self) -> bool:
        return True

    def close(self) -> None:
        if self._is_closing:
            return
        self._is_closing = True
        self.pass_on(self._peer()._receive_close)
        self._network.loop.call_soon(self._lose, None, context=self.context)

    def abort(self) -> None:
        if self._is_lost:
            return
        self._is_closing = True
        self.pass_on(self._peer()._receive_reset)
        self._network.loop.call_soon(self._lose, None, context=self.context)

    # ---- the way to the peer ----

    def pass_on(self, deliver: Callable[[], None]) -> None:
        """Deliver something in order, after the delay and once no fault holds it up."""
        loop = self._network.loop
        at_s = loop.time() + self._network.delay_s(self.ip, self.peer_ip)
        self._arrived_at_s = max(self._arrived_at_s, at_s)
        loop.call_at(self._arrived_at_s, self._deliver, deliver, context=self._peer().context)

    def _deliver(self, deliver: Callable[[], None]) -> None:
        if self._network.is_cut(self.ip, self.peer_ip):
            self._network.hold(self, deliver)
        else:
            deliver()

    def _peer(self) -> _Stream:
        assert self.peer is not None
        return self.peer

    def _receive(self, data: bytes) -> None:
        self._on_the_way -= len(data)
        if self._is_closing:
            # Bytes for a connection that is gone are answered with a reset.
            self.pass_on(self._peer()._receive_reset)
            return
        self._unread.append(data)
        self._unread_bytes += len(data)
        self._read_on()

    def _read_on(self) -> None:
        while self._unread and not self._is_paused and not self._is_closing:
            data = self._unread.popleft()
            self._unread_bytes -= len(data)
            self.protocol.data_received(data)
        if self._peer_waits and self._unread_bytes + self._on_the_way <= WINDOW_BYTES // 2:
            self._peer_waits = False
            peer = self._peer()
            if not peer._is_lost:
                peer.context.run(peer.protocol.resume_writing)
        if self._eof_arrived and not self._unread and not self._is_closing:
            self._eof_arrived = False
            if not self.protocol.eof_received():
                self.close()

    def _receive_eof(self) -> None:
        self._eof_arrived = True
        self._read_on()

    def _receive_close(self) -> None:
        if not self._is_closing:
            self._receive_eof()

    def _receive_reset(self) -> None:
        self._is_closing = True
        self._lose(ConnectionResetError("Connection reset by peer"))

    def _lose(self, error: Exception | None) -> None:
        if self._is_lost:
            return
        self._is_lost = True
        self._network.streams.discard(self)
        self.protocol.connection_lost(error)


class _Listener:
    """Stand for asyncio.Server."""

    def __init__(self, network: Network, address: Address, factory: Callable[[], Any]) -> None:
        self.factory = factory
        self.context = contextvars.copy_context()
        self._network = network
        self._address = address
        self.sockets = [self]

    def getsockname(self) -> Address:
        return self._address

    def close(self) -> None:
        if self._network.listeners.get(self._address) is self:
            del self._network.listeners[self._address]


class _Endpoint(asyncio.DatagramTransport):
    """Be a datagram socket."""

    def __init__(self, network: Network, address: Address, protocol: Any) -> None:
        super().__init__()
        self.protocol = protocol
        self.context = contextvars.copy_context()
        self._network = network
        self._address = address
        self._is_closed = False

    def sendto(self, data: Any, addr: Any = None) -> None:
        if not self._is_closed:
            self._network.send_datagram(bytes(data), self._address, addr)

    def is_closing(self) -> bool:
        return self._is_closed

    def close(self) -> None:
        self._is_closed = True
        if self._network.endpoints.get(self._address) is self:
            del self._network.endpoints[self._address]


class EmulatedLoop(VirtualLoop):
    """Open connections in the network's memory; time advances without waiting."""

    def __init__(self, seed: int) -> None:
        super().__init__()
        self.network = Network(self, random.Random(seed))

    async def create_server(  # type: ignore[override]
        self, protocol_factory: Any, host: Any = None, port: Any = None, **_: Any
    ) -> Any:
        """Listen; another listener at the address is an error."""
        address = (str(host), int(port))
        if address in self.network.listeners:
            raise OSError(f"address {host}:{port} is in use")
        listener = _Listener(self.network, address, protocol_factory)
        self.network.listeners[address] = listener
        return listener

    async def create_connection(  # type: ignore[override]
        self, protocol_factory: Any, host: Any = None, port: Any = None, **_: Any
    ) -> Any:
        """Connect to a listener, or wait while a fault lies between the hosts."""
        network, own_ip, peer_ip = self.network, HOST.get(), str(host)
        await asyncio.sleep(network.delay_s(own_ip, peer_ip))
        if network.is_cut(own_ip, peer_ip) or network.is_cut(peer_ip, own_ip):
            await asyncio.sleep(FOREVER_S)
        listener = network.listeners.get((peer_ip, int(port)))
        if listener is None:
            await asyncio.sleep(network.delay_s(peer_ip, own_ip))
            raise ConnectionRefusedError(f"Connection refused: {host}:{port}")
        client = _Stream(network, own_ip, protocol_factory(), peer_ip)
        server = listener.context.run(_accept, network, peer_ip, listener.factory, own_ip)
        client.peer, server.peer = server, client
        server.context.run(server.protocol.connection_made, server)
        await asyncio.sleep(network.delay_s(peer_ip, own_ip))
        client.protocol.connection_made(client)
        return client, client.protocol

    async def create_datagram_endpoint(  # type: ignore[override]
        self, protocol_factory: Any, local_addr: Any = None, **_: Any
    ) -> Any:
        """Bind a datagram socket."""
        address = (str(local_addr[0]), int(local_addr[1]))
        endpoint = _Endpoint(self.network, address, protocol_factory())
        self.network.endpoints[address] = endpoint
        endpoint.protocol.connection_made(endpoint)
        return endpoint, endpoint.protocol


def _accept(network: Network, ip: str, factory: Callable[[], Any], peer_ip: str) -> _Stream:
    return _Stream(network, ip, factory(), peer_ip)
