"""Fill generated thrift structs from parsed JSON by walking their `thrift_spec`.

Each entry of a `thrift_spec` is None or a tuple of the field's id, type, name, type details and
default.
"""

from dataclasses import dataclass
from enum import IntEnum
from functools import cache
from typing import Any

from thrift.Thrift import TType

from nutmeglead._generated.audit.ttypes import AuditKind, AuditRecord, KeyMove, MoveReason
from nutmeglead._generated.tickets.ttypes import ServerItem, ServerState
from nutmeglead.settings.errors import Fault, describe_value

__all__ = ["DuplicateField", "fill_struct", "join_path", "plain_struct", "required_fields"]

_INTEGER_BITS = {TType.BYTE: 8, TType.I16: 16, TType.I32: 32, TType.I64: 64}

# `thrift_spec` gives an enum field the type I32 and does not name the enum.
_ENUM_FIELDS: dict[tuple[type, str], type[IntEnum]] = {
    (ServerItem, "state"): ServerState,
    (AuditRecord, "kind"): AuditKind,
    (KeyMove, "reason"): MoveReason,
}


@dataclass(frozen=True)
class DuplicateField:
    """Mark the value of a field whose name occurs more than once in the same object."""

    value: object


def join_path(path: str, name: str) -> str:
    """Return the path of a field of the struct at `path`."""
    return f"{path}.{name}" if path else name


@cache
def required_fields(struct_type: type) -> frozenset[str]:
    """Return the names of a struct's required fields.

    `thrift_spec` does not state which fields are required, but `validate` raises if one is unset.
    """
    names = [spec[2] for spec in struct_type.thrift_spec if spec]  # type: ignore[attr-defined]
    required = set()
    for name in names:
        probe = struct_type(**{other: 0 for other in names if other != name} | {name: None})
        try:
            probe.validate()
        except Exception:  # the generated code raises TProtocolException
            required.add(name)
    return frozenset(required)


def plain_struct(value: Any) -> Any:
    """Return a struct as the nested dicts that `fill_struct` reads.

    Unset fields are left out, and enum members are given by their names in lower case.
    """
    if isinstance(value, list):
        return [plain_struct(item) for item in value]
    if not hasattr(value, "thrift_spec"):
        return value
    plain = {}
    for spec in value.thrift_spec:
        entry = getattr(value, spec[2]) if spec else None
        if entry is None:
            continue
        enum_type = _ENUM_FIELDS.get((type(value), spec[2]))
        plain[spec[2]] = enum_type(entry).name.lower() if enum_type else plain_struct(entry)
    return plain


def fill_struct(struct_type: type, value: object, path: str, faults: list[Fault]) -> Any:
    """Return a struct filled from a parsed object, and append each fault to `faults`.

    An absent struct none of whose fields is required is created with its defaults.
    """
    if not isinstance(value, dict):
        faults.append(Fault(path, "an object", describe_value(value)))
        return None
    specs = {spec[2]: spec for spec in struct_type.thrift_spec if spec}  # type: ignore[attr-defined]
    filled = struct_type()
    for name, entry in value.items():
        field_path = join_path(path, name)
        if name not in specs:
            known = ", ".join(specs)
            faults.append(Fault(field_path, f"one of the fields {known}", "an unknown field"))
        elif isinstance(entry, DuplicateField):
            faults.append(Fault(field_path, "each field once", "the field more than once"))
        else:
            setattr(filled, name, _read_field(struct_type, specs[name], entry, field_path, faults))
    _fill_absent_fields(struct_type, filled, value, path, faults)
    return filled


def _fill_absent_fields(
    struct_type: type, filled: Any, given: dict[str, Any], path: str, faults: list[Fault]
) -> None:
    """Append a fault for each absent required field; create absent structs with their defaults."""
    for spec in struct_type.thrift_spec:  # type: ignore[attr-defined]
        if spec is None or spec[2] in given:
            continue
        name = spec[2]
        if name in required_fields(struct_type):
            faults.append(Fault(join_path(path, name), _describe_type(spec[1]), "no such field"))
        elif spec[1] == TType.STRUCT and not required_fields(spec[3][0]):
            setattr(filled, name, fill_struct(spec[3][0], {}, join_path(path, name), faults))


def _read_field(
    struct_type: type, spec: tuple[Any, ...], value: object, path: str, faults: list[Fault]
) -> Any:
    """Return the value of a field, or None with a fault if it does not fit the field's type."""
    enum_type = _ENUM_FIELDS.get((struct_type, spec[2]))
    if enum_type is not None:
        return _read_enum(enum_type, value, path, faults)
    return _read_value(spec[1], spec[3], value, path, faults)


def _read_value(
    field_type: int, details: Any, value: object, path: str, faults: list[Fault]
) -> Any:
    """Return a value as its thrift type holds it, or None with a fault if the type differs."""
    if field_type == TType.STRUCT:
        return fill_struct(details[0], value, path, faults)
    if field_type == TType.LIST:
        return _read_list(details, value, path, faults)
    if not _is_scalar_of(field_type, value):
        faults.append(Fault(path, _describe_type(field_type), describe_value(value)))
        return None
    return float(value) if field_type == TType.DOUBLE else value  # type: ignore[arg-type]


def _read_list(details: Any, value: object, path: str, faults: list[Fault]) -> Any:
    if not isinstance(value, list):
        faults.append(Fault(path, "a list", describe_value(value)))
        return None
    item_type, item_details = details[0], details[1]
    return [
        _read_value(item_type, item_details, item, f"{path}[{position}]", faults)
        for position, item in enumerate(value)
    ]


def _read_enum(enum_type: type[IntEnum], value: object, path: str, faults: list[Fault]) -> Any:
    names = {member.name.lower(): member for member in enum_type}
    if isinstance(value, str) and value in names:
        return names[value]
    expected = "one of " + ", ".join(f'"{name}"' for name in names)
    faults.append(Fault(path, expected, describe_value(value)))
    return None


def _is_scalar_of(field_type: int, value: object) -> bool:
    """Return whether a value is valid for a field of a string, boolean or number type."""
    if field_type == TType.STRING:
        return isinstance(value, str) and _is_encodable(value)
    if field_type == TType.BOOL:
        return isinstance(value, bool)
    # bool is a subclass of int in Python, so `true` would pass as 1.
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    if field_type == TType.DOUBLE:
        # A whole number beyond the range of a double raises OverflowError on conversion.
        return abs(value) < 1e308
    bits = _INTEGER_BITS[field_type]
    return isinstance(value, int) and -(1 << bits - 1) <= value < 1 << bits - 1


def _is_encodable(text: str) -> bool:
    """Return whether a text can be encoded as UTF-8.

    An escape in JSON can stand for half of a surrogate pair, which has no UTF-8 encoding.
    """
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _describe_type(field_type: int) -> str:
    """Return what a field of this type expects, in the words of a fault."""
    if field_type in _INTEGER_BITS:
        return f"a whole number of {_INTEGER_BITS[field_type]} bits"
    return {
        TType.STRING: "a string",
        TType.BOOL: "true or false",
        TType.DOUBLE: "a number",
        TType.STRUCT: "an object",
        TType.LIST: "a list",
    }[field_type]
