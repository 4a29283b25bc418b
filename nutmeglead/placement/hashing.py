"""Hash keys to buckets, as the unit map does."""

from nutmeglead.ownership.keys import bucket_shift, hash_key

__all__ = ["bucket_of"]


def bucket_of(key: str, hash_buckets: int) -> int:
    """Return the bucket of a key; `hash_buckets` is a power of two."""
    return hash_key(key) >> bucket_shift(hash_buckets)
