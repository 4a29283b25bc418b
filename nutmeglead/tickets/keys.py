"""Number the keys of the product's own interface."""

from urllib.parse import unquote

from xxhash import xxh64_intdigest

from nutmeglead.ranges.keys import KEY_COUNT

__all__ = ["key_number", "key_of_target"]

_SHIFT = 64 - (KEY_COUNT.bit_length() - 1)


def key_number(key: str) -> int:
    """Return the number of a key: the top bits of its xxh64 hash."""
    return int(xxh64_intdigest(key.encode("utf-8", "surrogatepass"))) >> _SHIFT


def key_of_target(target: str) -> str | None:
    """Return the key of `/<service>/<key>[/...]`, or None if there is none."""
    parts = target.partition("?")[0].split("/")
    return unquote(parts[2]) if len(parts) > 2 and parts[2] else None
