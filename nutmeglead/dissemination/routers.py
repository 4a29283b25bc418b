"""Tell the routers of each other: a controller lists them, its routers take the list over."""

from collections.abc import Iterable, Sequence

from xxhash import xxh64_intdigest

from nutmeglead._generated.messages.ttypes import Acknowledged, Heartbeat, RouterEntry
from nutmeglead.dissemination.members import Identity, Member, MemberState

__all__ = ["RouterList", "answer_routers"]


def _list_routers(identity: Identity, members: Iterable[Member]) -> list[RouterEntry]:
    """List the routers of all entry VMs that are not gone, the controller's own VM included.

    A VM that was never heard is listed without an address: it has a part of the servers' slots.
    """
    entries = [RouterEntry(identity.node_id, identity.relay_address)]
    entries += [
        RouterEntry(member.node_id, member.relay_address)
        for member in members
        if member.state is not MemberState.GONE
    ]
    return sorted(entries, key=lambda entry: entry.vm_id)


class RouterList:
    """Hold the list that a router got last; `version` grows with every change."""

    def __init__(self) -> None:
        self.entries: Sequence[RouterEntry] = ()
        self.version = 0

    @property
    def digest(self) -> int:
        """Return the digest that goes into the router's heartbeats."""
        return _digest(self.entries)

    def take_over(self, reply: Acknowledged) -> None:
        """Replace the list by that of a reply, if it has one."""
        if reply.routers is not None and reply.routers != list(self.entries):
            self.entries = tuple(reply.routers)
            self.version += 1


def answer_routers(
    message: Heartbeat, reply: Acknowledged, identity: Identity, members: Iterable[Member]
) -> Acknowledged:
    """Add the list to the reply to a router that has another one.

    At 6,500 entry VMs the list takes about 260 KB, so it is sent after changes only.
    """
    entries = _list_routers(identity, members)
    if message.routers_digest != _digest(entries):
        reply.routers = entries
    return reply


def _digest(entries: Iterable[RouterEntry]) -> int:
    text = "\n".join(f"{e.vm_id} {_address(e)}" for e in entries)
    # Thrift has no unsigned integers.
    return xxh64_intdigest(text.encode()) >> 1


def _address(entry: RouterEntry) -> str:
    address = entry.rpc_address
    return f"{address.ip}:{address.port}" if address else ""
