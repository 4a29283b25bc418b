"""Hold the pages of one service in encoded form, with a digest over their versions."""

from collections.abc import Iterator

from result import Err, Ok, Result
from xxhash import xxh64_intdigest

from nutmeglead._generated.messages.ttypes import PlacementPage
from nutmeglead.core.codec import decode, encode
from nutmeglead.core.ids import ServiceName
from nutmeglead.dissemination.digests import VersionDigest
from nutmeglead.dissemination.errors import PageMalformed
from nutmeglead.dissemination.page_ids import PageId, page_id

__all__ = ["PageStore", "check_page", "encode_page", "page_digest"]

# xxh64 gives an unsigned number, an i64 field holds a signed one.
_SIGN_BIT = 1 << 63


def encode_page(page: PlacementPage) -> bytes:
    """Return the encoding of a page; equal pages give equal bytes whatever their maps' order."""
    if list(page.previous) != sorted(page.previous):
        page.previous = dict(sorted(page.previous.items()))
    return encode(page)


def page_digest(encoded: bytes) -> int:
    """Return the xxh64 of an encoded page as a signed 64-bit number."""
    digest: int = xxh64_intdigest(encoded)
    return digest - 2 * _SIGN_BIT if digest >= _SIGN_BIT else digest


def check_page(page: PlacementPage) -> Result[PlacementPage, PageMalformed]:
    """Return the page, or what makes it unusable."""
    count = len(page.owners)
    if len(page.epochs) != count:
        return Err(PageMalformed(f"{count} owners and {len(page.epochs)} epochs"))
    if page.pins and len(page.units or []) != count:
        return Err(PageMalformed(f"{count} owners and {len(page.units or [])} units"))
    if any(not -1 <= owner < len(page.servers) for owner in page.owners):
        return Err(PageMalformed(f"an owner is not one of {len(page.servers)} servers"))
    if any(not 0 <= position < count for position in page.previous):
        return Err(PageMalformed(f"a previous holder is not at one of {count} positions"))
    if page.version < 1:
        return Err(PageMalformed(f"version {page.version} is below 1"))
    return Ok(page)


class PageStore:
    """Hold the highest known version of each page of one service.

    Pages are kept encoded: 256 units take about 1.5 kB so, and about 15 kB as Python objects, which
    would not fit into 32 MB with the 2,048 pages of the target size.
    """

    def __init__(self, service_name: ServiceName) -> None:
        self.service_name = service_name
        self._encoded: dict[PageId, bytes] = {}
        self._versions: dict[PageId, int] = {}
        self._digest = VersionDigest()

    @property
    def digest(self) -> int:
        """Return the digest over all (page, version) pairs."""
        return self._digest.value

    def __len__(self) -> int:
        return len(self._versions)

    def version(self, place: PageId) -> int:
        """Return the known version of a page, or 0."""
        return self._versions.get(place, 0)

    def versions(self) -> dict[PageId, int]:
        """Return all known versions; the caller must not change the dict."""
        return self._versions

    def get(self, place: PageId) -> PlacementPage | None:
        """Return a new copy of a page."""
        encoded = self._encoded.get(place)
        return None if encoded is None else decode(PlacementPage, encoded).unwrap()

    def page_digest(self, place: PageId) -> int | None:
        """Return the digest of a page's encoding."""
        encoded = self._encoded.get(place)
        return None if encoded is None else page_digest(encoded)

    def pages(self) -> Iterator[PlacementPage]:
        """Yield a new copy of each page."""
        for place in list(self._encoded):
            page = self.get(place)
            if page is not None:
                yield page

    def put(self, page: PlacementPage) -> bool:
        """Take over a page; return False if the same or a newer version is known."""
        place = page_id(page)
        known = self.version(place)
        if page.service_name != self.service_name or page.version <= known:
            return False
        self._encoded[place] = encode_page(page)
        self._versions[place] = page.version
        self._digest.replace(place, known, page.version)
        return True

    @property
    def size_bytes(self) -> int:
        """Return the size of the encoded pages."""
        return sum(map(len, self._encoded.values()))
