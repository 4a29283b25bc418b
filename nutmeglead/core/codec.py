"""Encode and decode Thrift structs with the compact protocol."""

from typing import Any, TypeVar

from result import Err, Ok, Result
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.Thrift import TType
from thrift.TSerialization import deserialize, serialize

from nutmeglead.core.errors import CodecError

__all__ = ["decode", "encode"]

T = TypeVar("T")

# The accelerated protocol encodes the members of generated IntEnums; the protocol in pure Python
# raises an error for them, so falling back to it is switched off.
_PROTOCOL_FACTORY = TCompactProtocolAcceleratedFactory(fallback=False)


def encode(message: Any) -> bytes:
    """Return a struct in the compact encoding."""
    return serialize(message, _PROTOCOL_FACTORY)  # type: ignore[no-any-return]


def decode(message_type: type[T], data: bytes) -> Result[T, CodecError]:
    """Return the decoded struct, or a CodecError if a field is malformed or missing."""
    try:
        message = deserialize(message_type(), data, _PROTOCOL_FACTORY)
        fault = _find_struct_fault(message)
    except Exception as error:  # The extension module raises several unrelated types.
        return Err(CodecError(message_type.__name__, f"{type(error).__name__}: {error}"))
    if fault is not None:
        return Err(CodecError(message_type.__name__, fault))
    return Ok(message)


def _find_struct_fault(message: Any) -> str | None:
    """Validate a struct and all structs in its fields; return the first fault, or None.

    The generated `validate` of a struct checks its own required fields only.
    """
    try:
        message.validate()
    except Exception as error:
        return f"{type(message).__name__}: {error}"
    # A field's spec holds its id, type and name; ids that no field uses have None.
    for field_spec in message.thrift_spec:
        if field_spec is None:
            continue
        fault = _find_value_fault(field_spec[1], getattr(message, field_spec[2]))
        if fault is not None:
            return fault
    return None


def _find_value_fault(field_type: int, value: Any) -> str | None:
    """Return the first fault of the structs in a field's value, or None."""
    if value is None:
        return None
    if field_type == TType.STRUCT:
        return _find_struct_fault(value)
    items: list[Any] = []
    if field_type == TType.LIST:
        items = list(value)
    elif field_type == TType.MAP:
        items = list(value.values())
    for item in items:
        if not hasattr(item, "thrift_spec"):
            continue
        fault = _find_struct_fault(item)
        if fault is not None:
            return fault
    return None
