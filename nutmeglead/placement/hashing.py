"""Hash keys to buckets, as the unit map does."""

from nutmeglead.ownership.keys import hash_key

__all__ = ["bucket_of"]

_HASH_BITS = 64


def bucket_of(key: str, hash_buckets: int) -> int:
    """Return the bucket of a key: the top bits of its hash; `hash_buckets` is a power of two."""
    return hash_key(key) >> (_HASH_BITS - hash_buckets.bit_length() + 1)
