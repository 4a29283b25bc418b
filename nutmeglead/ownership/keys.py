"""Name the units that keys belong to and match keys with them."""

from typing import Generic, NamedTuple, TypeVar

from xxhash import xxh64_intdigest

from nutmeglead._generated.common.ttypes import UnitId, UnitKind

__all__ = ["PAGE_UNITS", "PrefixTable", "Unit", "bucket_shift", "hash_key", "unit_from_id"]

# One page is one row of the table service, so that the loss of a server costs few writes.
PAGE_UNITS = 256

T = TypeVar("T")


def hash_key(key: str) -> int:
    """Return the unsigned 64-bit hash of a key."""
    return int(xxh64_intdigest(key.encode("utf-8", "surrogatepass")))


def bucket_shift(hash_buckets: int) -> int:
    """Return by how many bits a key's hash is shifted right to give its bucket."""
    if hash_buckets < 1 or hash_buckets & (hash_buckets - 1):
        raise ValueError(f"hash_buckets must be a power of two, got {hash_buckets}")
    return 64 - (hash_buckets.bit_length() - 1)


class Unit(NamedTuple):
    """Identify a unit; the hashable form of UnitId."""

    kind: UnitKind
    bucket: int
    key: str

    @classmethod
    def of_bucket(cls, bucket: int) -> "Unit":
        """Return the unit of a hash bucket."""
        return cls(UnitKind.HASH_BUCKET, bucket, "")

    @classmethod
    def of_prefix(cls, prefix: str) -> "Unit":
        """Return the unit of a key prefix."""
        return cls(UnitKind.PREFIX, 0, prefix)

    @classmethod
    def of_key(cls, key: str) -> "Unit":
        """Return the unit of a single key."""
        return cls(UnitKind.EXACT, 0, key)

    def to_id(self) -> UnitId:
        """Return the thrift struct."""
        if self.kind == UnitKind.HASH_BUCKET:
            return UnitId(kind=UnitKind.HASH_BUCKET, bucket=self.bucket)
        return UnitId(kind=self.kind, key=self.key)

    def matches(self, key: str, shift: int) -> bool:
        """Tell whether a key lies in this unit, more specific units aside."""
        if self.kind == UnitKind.EXACT:
            return key == self.key
        if self.kind == UnitKind.PREFIX:
            return key.startswith(self.key)
        return hash_key(key) >> shift == self.bucket

    def is_more_specific_than(self, other: "Unit") -> bool:
        """Tell whether this unit takes precedence for a key that both match."""
        return (self.kind, len(self.key)) > (other.kind, len(other.key))


def unit_from_id(unit_id: UnitId) -> Unit:
    """Return the hashable form of a thrift unit id."""
    return Unit(UnitKind(unit_id.kind), unit_id.bucket or 0, unit_id.key or "")


class PrefixTable(Generic[T]):
    """Map prefixes to values and find the longest prefix of a key."""

    def __init__(self) -> None:
        self.entries: dict[str, T] = {}
        self._lengths: list[int] = []

    def put(self, prefix: str, value: T) -> None:
        """Set the value of a prefix."""
        self.entries[prefix] = value
        self._index()

    def remove(self, prefix: str) -> None:
        """Remove a prefix if it is present."""
        self.entries.pop(prefix, None)
        self._index()

    def longest(self, key: str) -> T | None:
        """Return the value of the longest prefix that the key begins with."""
        for length in self._lengths:
            found = self.entries.get(key[:length])
            if found is not None:
                return found
        return None

    def matching(self, key: str) -> list[T]:
        """List the values of all prefixes that the key begins with, the longest first."""
        found = (self.entries.get(key[:n]) for n in self._lengths if n <= len(key))
        return [value for value in found if value is not None]

    def _index(self) -> None:
        self._lengths = sorted({len(prefix) for prefix in self.entries}, reverse=True)
