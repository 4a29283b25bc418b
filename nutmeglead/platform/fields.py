"""Typed access to the fields of decoded JSON objects and TOML tables."""

import json
from typing import Any

from result import Err, Ok, Result

from nutmeglead.core.errors import CodecError

__all__ = [
    "FieldError",
    "parse_integer",
    "parse_number",
    "parse_object",
    "parse_seconds_as_ms",
    "parse_text",
]


class FieldError(ValueError):
    """A field is missing, has another type or is out of range; `name` is the field's name."""

    def __init__(self, name: str, expected: str, given: object) -> None:
        super().__init__(f"field {name!r}: expected {expected}, got {given!r}")


def parse_object(expected: str, data: bytes) -> Result[dict[str, Any], CodecError]:
    """Decode a JSON object; `expected` names the document in the CodecError."""
    try:
        decoded = json.loads(data)
    except ValueError as error:
        return Err(CodecError(expected, str(error)))
    if not isinstance(decoded, dict):
        return Err(CodecError(expected, f"expected a JSON object, got {type(decoded).__name__}"))
    return Ok(decoded)


def parse_text(fields: dict[str, Any], name: str) -> str:
    """Return a string field that is not empty; raise FieldError for any other value."""
    value = fields.get(name)
    if not isinstance(value, str) or not value:
        raise FieldError(name, "a string that is not empty", value)
    return value


def parse_number(fields: dict[str, Any], name: str, default: float | None = None) -> float:
    """Return a number field from 0 to below 1e15; raise FieldError for any other value."""
    value = fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < 1e15:
        raise FieldError(name, "a number from 0 to below 1e15", value)
    return value


def parse_integer(fields: dict[str, Any], name: str, default: int | None = None) -> int:
    """Return a number field without a fraction, as an int; raise FieldError for any other value."""
    value = parse_number(fields, name, default)
    if value != int(value):
        raise FieldError(name, "a whole number", value)
    return int(value)


def parse_seconds_as_ms(fields: dict[str, Any], name: str, default_s: float | None = None) -> int:
    """Return a field that holds seconds, rounded to whole ms."""
    return round(parse_number(fields, name, default_s) * 1000)
