"""Encode envelopes as length-prefixed frames and decode them from a byte stream."""

import struct

from result import Err, Ok, Result

from nutmeglead._generated.messages.ttypes import Envelope
from nutmeglead.core.codec import decode, encode
from nutmeglead.rpc.errors import FrameError, FrameMalformed, FrameTooLarge

__all__ = ["MAX_FRAME_BYTES", "FrameDecoder", "encode_frame"]

# A page of 256 units with four previous holders each encodes to about 40 kB, so a reply with a
# batch of 64 pages stays below this limit.
MAX_FRAME_BYTES = 4 * 1024 * 1024
# Unsigned 32-bit length of the envelope, big-endian.
_LENGTH = struct.Struct("!I")


def encode_frame(
    envelope: Envelope, max_frame_bytes: int = MAX_FRAME_BYTES
) -> Result[bytes, FrameTooLarge]:
    """Return the frame of an envelope, or FrameTooLarge."""
    data = encode(envelope)
    if len(data) > max_frame_bytes:
        return Err(FrameTooLarge(len(data), max_frame_bytes))
    return Ok(_LENGTH.pack(len(data)) + data)


class FrameDecoder:
    """Collect the bytes of one connection and return whole envelopes."""

    def __init__(self, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        self._max_frame_bytes = max_frame_bytes
        self._buffer = bytearray()
        self._error: FrameError | None = None

    def feed(self, data: bytes) -> Result[list[Envelope], FrameError]:
        """Return the envelopes that these bytes complete; after an error every call returns it."""
        self._buffer += data
        envelopes: list[Envelope] = []
        while self._error is None and len(self._buffer) >= _LENGTH.size:
            size = _LENGTH.unpack_from(self._buffer)[0]
            if size > self._max_frame_bytes:
                self._error = FrameTooLarge(size, self._max_frame_bytes)
                break
            end = _LENGTH.size + size
            if len(self._buffer) < end:
                break
            self._take(bytes(self._buffer[_LENGTH.size : end]), envelopes)
            del self._buffer[:end]
        return Ok(envelopes) if self._error is None else Err(self._error)

    def _take(self, body: bytes, envelopes: list[Envelope]) -> None:
        decoded = decode(Envelope, body)
        if isinstance(decoded, Err):
            self._error = FrameMalformed(str(decoded.err_value))
        else:
            envelopes.append(decoded.ok_value)

    @property
    def has_partial_frame(self) -> bool:
        """Tell whether the stream would be cut inside a frame if it ended now."""
        return bool(self._buffer)
