"""Compare page versions with a neighbour by one number per service."""

import struct
from collections.abc import Iterable, Mapping

from xxhash import xxh64_intdigest

from nutmeglead._generated.messages.ttypes import PageVersion
from nutmeglead.dissemination.page_ids import PageId, page_id

__all__ = ["VersionDigest", "newer_pages", "version_list"]

_PAIR = struct.Struct("!?iq")
_MODULUS = 1 << 64


class VersionDigest:
    """Sum the xxh64 of each (page, version) pair modulo 2**64.

    A sum is independent of the order in which pages arrive, and replacing one page costs two
    hashes. Two different sets of versions collide with a probability of about 2**-64.
    """

    def __init__(self) -> None:
        self._sum = 0

    @property
    def value(self) -> int:
        """Return the digest as a signed 64-bit number, as an i64 field holds it."""
        return self._sum - _MODULUS if self._sum >= _MODULUS // 2 else self._sum

    def replace(self, place: PageId, old_version: int, new_version: int) -> None:
        """Take the old version of a page out and the new one in; version 0 stands for none."""
        self._sum = (self._sum - _hash(place, old_version) + _hash(place, new_version)) % _MODULUS


def _hash(place: PageId, version: int) -> int:
    if version == 0:
        return 0
    return int(xxh64_intdigest(_PAIR.pack(*place, version)))


def version_list(versions: Mapping[PageId, int]) -> list[PageVersion]:
    """Return the versions as message fields."""
    return [PageVersion(pins, number, version) for (pins, number), version in versions.items()]


def newer_pages(own: Mapping[PageId, int], theirs: Iterable[PageVersion]) -> list[PageVersion]:
    """List the neighbour's pages that are newer than the own ones.

    Pages in which the neighbour lies behind are left out: it fetches them itself.
    """
    return [entry for entry in theirs if entry.version > own.get(page_id(entry), 0)]
