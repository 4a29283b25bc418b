"""Emulate TCP streams and UDP datagrams in memory, with delays and network faults.

Bytes that a fault holds back are delivered when the fault ends, as TCP
retransmissions are, whatever has become of their sender. They are dropped only if the sender's
kernel gives them up: with a reset, or after the socket's limit on unacknowledged data. Datagrams
are lost.
"""

from __future__ import annotations

import asyncio
import contextvars
import random
from collections.abc import Callable
from functools import partial
from typing import Any

from nutmeglead.emulator.hosts import HOST, HostCallback, Hosts
from nutmeglead.emulator.links import Links
from nutmeglead.emulator.streams import Stream
from nutmeglead.emulator.virtual_time import VirtualLoop

__all__ = ["EmulatedLoop", "Network"]

# A connect that a fault blocks sleeps for this time, so that the caller's own timeout ends it.
FOREVER_S = 86_400.0

Address = tuple[str, int]


class Network:
    """Hold the listeners, streams, delays and faults of an emulated network."""

    def __init__(self, loop: EmulatedLoop, rng: random.Random) -> None:
        self.loop = loop
        self.listeners: dict[Address, _Listener] = {}
        self.endpoints: dict[Address, _Endpoint] = {}
        self.streams: set[Stream] = set()
        self.links = Links()
        self.one_way_ms: Callable[[str, str], float] = lambda sender, receiver: 0.25
        # Hosts whose traffic is blocked, and blocked (sender, receiver) pairs.
        self.isolated: set[str] = set()
        self.blocked_pairs: set[tuple[str, str]] = set()
        # Probability with which a datagram is lost.
        self.datagram_loss = 0.0
        self._rng = rng
        self._held_back: list[tuple[Stream, Callable[[], None]]] = []
        self.hosts = Hosts()

    def is_blocked(self, sender: str, receiver: str) -> bool:
        """Return whether a fault blocks traffic from one host to another host."""
        return (
            sender in self.isolated
            or receiver in self.isolated
            or (sender, receiver) in self.blocked_pairs
        ) and sender != receiver

    def block(self, one: str, other: str) -> None:
        """Block the traffic between two hosts in both directions."""
        self.blocked_pairs |= {(one, other), (other, one)}

    def deliver_held(self) -> None:
        """Transmit held-back data after a fault has ended; what is still blocked is held again."""
        held, self._held_back = self._held_back, []
        for stream, deliver in held:
            stream.deliver_at(self.loop.time(), deliver)

    def hold_back(self, stream: Stream, deliver: Callable[[], None]) -> None:
        """Hold a delivery of a stream back until `deliver_held` is called."""
        if not self.has_held(stream):
            stream.limit_unacknowledged_time()
        self._held_back.append((stream, deliver))

    def has_held(self, stream: Stream) -> bool:
        """Return whether data of a stream is held back."""
        return any(held[0] is stream for held in self._held_back)

    def drop_held(self, stream: Stream) -> None:
        """Drop the held-back data of a stream, as a reset by its sender does."""
        self._held_back = [held for held in self._held_back if held[0] is not stream]

    def thaw_host(self, ip: str) -> None:
        """Let the processes of a frozen host run again, which then do all that was due."""
        for callback in self.hosts.thaw(ip):
            self.loop.call_soon(callback)

    def close_host(self, ip: str) -> None:
        """Close the ports and connections of a host whose process ended, as its kernel does."""
        self.thaw_host(ip)
        for address in [address for address in self.listeners if address[0] == ip]:
            del self.listeners[address]
        for address in [address for address in self.endpoints if address[0] == ip]:
            del self.endpoints[address]
        for stream in [stream for stream in self.streams if stream.ip == ip]:
            stream.abort()

    def delay_s(self, sender: str, receiver: str) -> float:
        """Return the one-way delay between two hosts in seconds."""
        return self.one_way_ms(sender, receiver) / 1000

    def send_datagram(self, data: bytes, sender: Address, receiver: Address) -> None:
        """Deliver a datagram after the delay, or drop it if it is blocked or drawn as lost."""
        if self.is_blocked(sender[0], receiver[0]) or self._rng.random() < self.datagram_loss:
            return
        hosts, now_s = (sender[0], receiver[0]), self.loop.time()
        if self.links.is_full(*hosts, now_s):
            return
        at_s = self.links.reserve(*hosts, len(data), now_s) + self.delay_s(*hosts)
        self.loop.call_at(at_s, self._deliver_datagram, data, sender, receiver)

    def _deliver_datagram(self, data: bytes, sender: Address, receiver: Address) -> None:
        endpoint = self.endpoints.get(receiver)
        if endpoint is not None and not self.is_blocked(sender[0], receiver[0]):
            receive = partial(endpoint.protocol.datagram_received, data, sender)
            self.hosts.run(receiver[0], endpoint.context, receive)


class _Listener:
    """Implement the part of asyncio.Server that the entry processes use."""

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
    """Implement the transport of a datagram socket."""

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
    """Open sockets in an emulated network, on virtual time."""

    def __init__(self, seed: int) -> None:
        super().__init__()
        self.network = Network(self, random.Random(seed))

    def call_soon(  # type: ignore[override]
        self, callback: Any, *args: Any, context: contextvars.Context | None = None
    ) -> asyncio.Handle:
        """Schedule a callback, which is postponed while its host is frozen."""
        context = contextvars.copy_context() if context is None else context
        scheduled = HostCallback(self.network.hosts, context, partial(callback, *args))
        scheduled.handle = handle = super().call_soon(scheduled, context=context)
        return handle

    def call_at(  # type: ignore[override]
        self, when: float, callback: Any, *args: Any, context: contextvars.Context | None = None
    ) -> asyncio.TimerHandle:
        """Schedule a callback for a time, which is postponed while its host is frozen."""
        context = contextvars.copy_context() if context is None else context
        scheduled = HostCallback(self.network.hosts, context, partial(callback, *args))
        scheduled.handle = handle = super().call_at(when, scheduled, context=context)
        return handle

    async def create_server(  # type: ignore[override]
        self, protocol_factory: Any, host: Any = None, port: Any = None, **_: Any
    ) -> Any:
        """Return a listener, or raise OSError if the address has one."""
        address = (str(host), int(port))
        if address in self.network.listeners:
            raise OSError(f"address {host}:{port} already has a listener")
        listener = _Listener(self.network, address, protocol_factory)
        self.network.listeners[address] = listener
        return listener

    async def create_connection(  # type: ignore[override]
        self, protocol_factory: Any, host: Any = None, port: Any = None, **_: Any
    ) -> Any:
        """Connect to a listener; if a fault blocks the hosts, sleep until the caller gives up."""
        network, own_ip, peer_ip = self.network, HOST.get(), str(host)
        await asyncio.sleep(network.delay_s(own_ip, peer_ip))
        if network.is_blocked(own_ip, peer_ip) or network.is_blocked(peer_ip, own_ip):
            await asyncio.sleep(FOREVER_S)
        listener = network.listeners.get((peer_ip, int(port)))
        if listener is None:
            await asyncio.sleep(network.delay_s(peer_ip, own_ip))
            raise ConnectionRefusedError(f"Connection refused: {host}:{port}")
        client = Stream(network, own_ip, protocol_factory(), peer_ip)
        server = listener.context.run(_accept, network, peer_ip, listener.factory, own_ip)
        client.peer, server.peer = server, client
        server.context.run(server.protocol.connection_made, server)
        await asyncio.sleep(network.delay_s(peer_ip, own_ip))
        client.protocol.connection_made(client)
        return client, client.protocol

    async def create_datagram_endpoint(  # type: ignore[override]
        self, protocol_factory: Any, local_addr: Any = None, **_: Any
    ) -> Any:
        """Return a datagram transport that is bound to `local_addr`, and its protocol."""
        address = (str(local_addr[0]), int(local_addr[1]))
        endpoint = _Endpoint(self.network, address, protocol_factory())
        self.network.endpoints[address] = endpoint
        endpoint.protocol.connection_made(endpoint)
        return endpoint, endpoint.protocol


def _accept(network: Network, ip: str, factory: Callable[[], Any], peer_ip: str) -> Stream:
    return Stream(network, ip, factory(), peer_ip)
