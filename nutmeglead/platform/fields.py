"""Read typed fields of decoded JSON or TOML objects."""

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
    """Report a field that is missing or of another type."""

    def __init__(self, name: str, expected: str, given: object) -> None:
        super().__init__(f"field {name!r}: expected {expected}, got {given!r}")


def parse_object(expected: str, data: bytes) -> Result[dict[str, Any], CodecError]:
    """Return the JSON object in some bytes."""
    try:
        decoded = json.loads(data)
    except ValueError as error:
        return Err(CodecError(expected, str(error)))
    if not isinstance(decoded, dict):
        return Err(CodecError(expected, f"expected an object, got {type(decoded).__name__}"))
    return Ok(decoded)


def parse_text(fields: dict[str, Any], name: str) -> str:
    """Return a text that is not empty."""
    value = fields.get(name)
    if not isinstance(value, str) or not value:
        raise FieldError(name, "a text", value)
    return value


def parse_number(fields: dict[str, Any], name: str, default: float | None = None) -> float:
    """Return a finite number that is not negative."""
    value = fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < 1e15:
        raise FieldError(name, "a number of 0 or more", value)
    return value


def parse_integer(fields: dict[str, Any], name: str, default: int | None = None) -> int:
    """Return a whole number that is not negative."""
    value = parse_number(fields, name, default)
    if value != int(value):
        raise FieldError(name, "a whole number", value)
    return int(value)


def parse_seconds_as_ms(fields: dict[str, Any], name: str, default_s: float | None = None) -> int:
    """Return a time that is given in seconds, in ms."""
    return round(parse_number(fields, name, default_s) * 1000)
