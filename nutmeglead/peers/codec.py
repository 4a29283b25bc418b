"""Encode and decode datagrams between entry VMs."""

import struct
import zlib
from collections.abc import Iterable, Mapping

from result import Err, Ok, Result

from nutmeglead._generated.peers.ttypes import Datagram
from nutmeglead.core.codec import decode, encode
from nutmeglead.core.errors import CodecError
from nutmeglead.core.ids import ServerId

__all__ = [
    "decode_datagram",
    "decode_keys",
    "decode_samples",
    "decode_work",
    "encode_datagram",
    "encode_keys",
    "encode_samples",
    "encode_work",
    "server_tag",
]

MAX_COUNT = 0xFFFF


def encode_datagram(**variant: object) -> bytes:
    """Return the bytes of a datagram with one variant."""
    return encode(Datagram(**variant))


def decode_datagram(data: bytes) -> Result[object, CodecError]:
    """Return the variant that a datagram holds."""
    decoded = decode(Datagram, data)
    if isinstance(decoded, Err):
        return decoded
    for variant in vars(decoded.ok_value).values():
        if variant is not None:
            return Ok(variant)
    return Err(CodecError("a datagram", "no known variant"))


def server_tag(server_id: ServerId) -> int:
    """Return 16 bits of a server's id; two servers with one tag share an estimate."""
    return zlib.crc32(server_id.encode()) & 0xFFFF


def encode_work(counts: Mapping[int, int]) -> bytes:
    """Return tags and counts of requests in flight, 4 bytes each."""
    flat = [
        value for tag, count in counts.items() if count for value in (tag, min(count, MAX_COUNT))
    ]
    return struct.pack(f"<{len(flat)}H", *flat)


def decode_work(data: bytes) -> dict[int, int]:
    """Return the count for each tag; a cut tail is dropped."""
    flat = struct.unpack(f"<{len(data) // 4 * 2}H", data[: len(data) // 4 * 4])
    return dict(zip(flat[::2], flat[1::2], strict=True))


def encode_samples(samples: Mapping[int, tuple[int, float]]) -> bytes:
    """Return tags with counts of answers and their mean times in ms, 6 bytes each."""
    flat = [
        min(round(value), MAX_COUNT)
        for tag, (count, mean_ms) in samples.items()
        for value in (tag, count, mean_ms)
    ]
    return struct.pack(f"<{len(flat)}H", *flat)


def decode_samples(data: bytes) -> dict[int, tuple[int, int]]:
    """Return the count and the mean time in ms for each tag; a cut tail is dropped."""
    flat = struct.unpack(f"<{len(data) // 6 * 3}H", data[: len(data) // 6 * 6])
    return {flat[i]: (flat[i + 1], flat[i + 2]) for i in range(0, len(flat), 3)}


def encode_keys(keys: Iterable[int]) -> bytes:
    """Return keys or tags, 2 bytes each."""
    listed = list(keys)
    return struct.pack(f"<{len(listed)}H", *listed)


def decode_keys(data: bytes) -> tuple[int, ...]:
    """Return the keys or tags; a cut tail is dropped."""
    return struct.unpack(f"<{len(data) // 2}H", data[: len(data) // 2 * 2])
