"""Typed access to the fields of decoded JSON objects and TOML tables."""

import json
import reprlib
from typing import Any

from result import Err, Ok, Result

from nutmeglead.core.errors import CodecError

__all__ = [
    "FieldError",
    "is_encodable",
    "is_printable_name",
    "parse_integer",
    "parse_name",
    "parse_number",
    "parse_object",
    "parse_seconds_as_ms",
    "parse_text",
]


class FieldError(ValueError):
    """A field is missing, has another type or is out of range; `name` is the field's name."""

    def __init__(self, name: str, expected: str, given: object) -> None:
        # The whole value may be as large as a row, or nested too deeply for `repr`.
        super().__init__(f"field {name!r}: expected {expected}, got {reprlib.repr(given)}")


def parse_object(expected: str, data: bytes) -> Result[dict[str, Any], CodecError]:
    """Decode a JSON object; `expected` names the document in the CodecError."""
    try:
        decoded = json.loads(data)
    except (ValueError, RecursionError) as error:
        return Err(CodecError(expected, str(error)))
    if not isinstance(decoded, dict):
        return Err(CodecError(expected, f"expected a JSON object, got {type(decoded).__name__}"))
    return Ok(decoded)


def parse_text(fields: dict[str, Any], name: str) -> str:
    """Return a string field that is not empty; raise FieldError for any other value."""
    value = fields.get(name)
    if not isinstance(value, str) or not value:
        raise FieldError(name, "a string that is not empty", value)
    if not is_encodable(value):
        raise FieldError(name, "a string without half of a surrogate pair", value)
    return value


def is_encodable(text: str) -> bool:
    """Return whether a text can be encoded as UTF-8; JSON allows half of a surrogate pair."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def parse_name(fields: dict[str, Any], name: str) -> str:
    """Return a string field that can be sent in a header; raise FieldError for any other value."""
    value = parse_text(fields, name)
    if not is_printable_name(value):
        raise FieldError(name, "printable text without spaces at its ends", value)
    return value


def is_printable_name(text: str) -> bool:
    """Return whether a text that is not empty can be sent in a header."""
    return text.isprintable() and text == text.strip()


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
