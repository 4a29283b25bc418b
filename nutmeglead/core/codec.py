"""Encode and decode thrift structs with the compact protocol."""

from typing import Any, TypeVar

from result import Err, Ok, Result
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.Thrift import TType
from thrift.TSerialization import deserialize, serialize

from nutmeglead.core.errors import CodecError

__all__ = ["decode", "encode"]

T = TypeVar("T")

# The accelerated codec accepts the ints that the generated IntEnum fields hold; the slow one does
# not, so there is no fallback to it.
_FACTORY = TCompactProtocolAcceleratedFactory(fallback=False)


def encode(message: Any) -> bytes:
    """Return the compact encoding of a struct."""
    return serialize(message, _FACTORY)  # type: ignore[no-any-return]


def decode(message_type: type[T], data: bytes) -> Result[T, CodecError]:
    """Return the decoded struct, or a CodecError if fields are malformed or missing."""
    try:
        message = deserialize(message_type(), data, _FACTORY)
        missing = _first_invalid(message)
    except Exception as error:  # the extension module raises several unrelated types
        return Err(CodecError(message_type.__name__, f"{type(error).__name__}: {error}"))
    if missing is not None:
        return Err(CodecError(message_type.__name__, missing))
    return Ok(message)


def _first_invalid(message: Any) -> str | None:
    """Return the fault of the first invalid struct in the tree."""
    try:
        message.validate()
    except Exception as error:
        return f"{type(message).__name__}: {error}"
    for spec in message.thrift_spec:
        if spec is None:
            continue
        fault = _first_invalid_in(spec[1], getattr(message, spec[2]))
        if fault is not None:
            return fault
    return None


def _first_invalid_in(field_type: int, value: Any) -> str | None:
    if value is None:
        return None
    if field_type == TType.STRUCT:
        return _first_invalid(value)
    items: list[Any] = []
    if field_type == TType.LIST:
        items = list(value)
    elif field_type == TType.MAP:
        items = list(value.values())
    for item in items:
        if not hasattr(item, "thrift_spec"):
            continue
        fault = _first_invalid(item)
        if fault is not None:
            return fault
    return None
