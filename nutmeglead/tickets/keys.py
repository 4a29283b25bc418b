"""Map request targets of the product's own interface to keys and keys to key numbers."""

from urllib.parse import unquote

from xxhash import xxh64_intdigest

from nutmeglead.ranges.keys import KEY_COUNT

__all__ = ["key_number", "key_of_target"]

_HASH_SHIFT_BITS = 64 - (KEY_COUNT.bit_length() - 1)


def key_number(key: str) -> int:
    """Return the number of a key from 0 to KEY_COUNT - 1: the top bits of its xxh64 hash."""
    return int(xxh64_intdigest(key.encode("utf-8", "surrogatepass"))) >> _HASH_SHIFT_BITS


def key_of_target(target: str) -> str | None:
    """Return the percent-decoded key of `/<service>/<key>[/...]`, or None if it has none."""
    parts = target.partition("?")[0].split("/")
    return unquote(parts[2]) if len(parts) > 2 and parts[2] else None
