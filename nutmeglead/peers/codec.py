"""Encode and decode datagrams between entry VMs."""

import struct
import zlib
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from result import Err, Ok, Result

from nutmeglead._generated.peers.ttypes import Datagram
from nutmeglead.core.codec import decode, encode
from nutmeglead.core.errors import CodecError
from nutmeglead.core.ids import NodeId, ServerId

__all__ = [
    "NodeState",
    "decode_datagram",
    "decode_keys",
    "decode_samples",
    "decode_states",
    "decode_work",
    "encode_datagram",
    "encode_keys",
    "encode_samples",
    "encode_states",
    "encode_work",
    "node_tag",
    "server_tag",
]

MAX_COUNT = 0xFFFF
# One byte holds the age of a node's state, in steps of this length.
AGE_STEP_MS = 10
_STATE = struct.Struct("<IBB")
_LEAVING, _REACHES_STORE = 1, 2


class NodeState(NamedTuple):
    """Hold what a heartbeat reports of another node: its tag, its age and its state.

    `age_ms` is the time since the node was last heard.
    """

    tag: int
    age_ms: int
    is_leaving: bool
    reaches_store: bool


def encode_datagram(**variant: object) -> bytes:
    """Return a serialized `Datagram` whose variant is the one keyword argument."""
    return encode(Datagram(**variant))


def decode_datagram(data: bytes) -> Result[object, CodecError]:
    """Return the message in a datagram, or why the datagram cannot be decoded."""
    decoded = decode(Datagram, data)
    if isinstance(decoded, Err):
        return decoded
    for variant in vars(decoded.ok_value).values():
        if variant is not None:
            return Ok(variant)
    return Err(CodecError("a datagram", "no known variant"))


def server_tag(server_id: ServerId) -> int:
    """Return a 16-bit hash of a server's id.

    Two servers with the same tag share their in-flight count and their time estimate.
    """
    return zlib.crc32(server_id.encode()) & 0xFFFF


def node_tag(node_id: NodeId) -> int:
    """Return a 32-bit hash of a node's id."""
    return zlib.crc32(node_id.encode())


def encode_states(states: Iterable[NodeState]) -> bytes:
    """Return the encoded states of nodes, 6 bytes each; ages are capped at 2550 ms."""
    return b"".join(
        _STATE.pack(
            state.tag,
            min(state.age_ms // AGE_STEP_MS, 0xFF),
            _LEAVING * state.is_leaving | _REACHES_STORE * state.reaches_store,
        )
        for state in states
    )


def decode_states(data: bytes) -> list[NodeState]:
    """Return the node states; an incomplete last entry is ignored."""
    whole = data[: len(data) // _STATE.size * _STATE.size]
    return [
        NodeState(tag, age * AGE_STEP_MS, bool(flags & _LEAVING), bool(flags & _REACHES_STORE))
        for tag, age, flags in _STATE.iter_unpack(whole)
    ]


def encode_work(counts: Mapping[int, int]) -> bytes:
    """Return the encoded in-flight counts per server tag, 4 bytes each, without zero counts."""
    flat = [
        value for tag, count in counts.items() if count for value in (tag, min(count, MAX_COUNT))
    ]
    return struct.pack(f"<{len(flat)}H", *flat)


def decode_work(data: bytes) -> dict[int, int]:
    """Return the in-flight count per server tag; an incomplete last entry is ignored."""
    flat = struct.unpack(f"<{len(data) // 4 * 2}H", data[: len(data) // 4 * 4])
    return dict(zip(flat[::2], flat[1::2], strict=True))


def encode_samples(samples: Mapping[int, tuple[int, float]]) -> bytes:
    """Return the encoded answer count and mean service time in ms per server tag, 6 bytes each."""
    flat = [
        min(round(value), MAX_COUNT)
        for tag, (count, mean_ms) in samples.items()
        for value in (tag, count, mean_ms)
    ]
    return struct.pack(f"<{len(flat)}H", *flat)


def decode_samples(data: bytes) -> dict[int, tuple[int, int]]:
    """Return the answer count and mean service time in ms per server tag.

    An incomplete last entry is ignored.
    """
    flat = struct.unpack(f"<{len(data) // 6 * 3}H", data[: len(data) // 6 * 6])
    return {flat[i]: (flat[i + 1], flat[i + 2]) for i in range(0, len(flat), 3)}


def encode_keys(keys: Iterable[int]) -> bytes:
    """Return encoded keys or server tags, 2 bytes each."""
    listed = list(keys)
    return struct.pack(f"<{len(listed)}H", *listed)


def decode_keys(data: bytes) -> tuple[int, ...]:
    """Return the keys or server tags; an incomplete last entry is ignored."""
    return struct.unpack(f"<{len(data) // 2}H", data[: len(data) // 2 * 2])
