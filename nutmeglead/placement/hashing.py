"""Hash keys to buckets."""

import xxhash

__all__ = ["bucket_of"]

_HASH_BITS = 64


def bucket_of(key: str, hash_buckets: int) -> int:
    """Return the bucket of a key: the top bits of its xxh64; `hash_buckets` is a power of two."""
    return xxhash.xxh64_intdigest(key.encode()) >> (_HASH_BITS - hash_buckets.bit_length() + 1)
