"""Keep one service's pages current: apply deltas, notice gaps, know the age of the copy."""

from dataclasses import dataclass

from result import Err

from nutmeglead._generated.messages.ttypes import PageDelta, PageVersion, PlacementPage
from nutmeglead.core.ids import ServiceName
from nutmeglead.dissemination.deltas import apply_delta, decode_changes
from nutmeglead.dissemination.errors import DeltaGap
from nutmeglead.dissemination.page_ids import PageId, page_id
from nutmeglead.dissemination.pages import PageStore, check_page

__all__ = ["DeltaVerdict", "Gap", "ServiceCopy"]

# Versions of one page that arrive in a wrong order wait for the missing one. More than a few mean
# that the missing one is lost, and then the whole page is fetched.
_MAX_WAITING_PER_PAGE = 8
# Bounds the memory of forwarded versions above the known one, which may be corrupt numbers.
_MAX_OFFERED_PER_PAGE = 64


@dataclass(frozen=True)
class DeltaVerdict:
    """Say what to do with a delta after it was offered.

    `is_forwardable` holds for a delta that is new here. `fetch` asks for the whole page at once.
    """

    is_forwardable: bool = False
    fetch: PageVersion | None = None


@dataclass
class Gap:
    """Name a page version that is known to exist, and who has it."""

    version: int
    node_id: str


class ServiceCopy:
    """Hold the copy of one service's pages on this node."""

    def __init__(self, service_name: ServiceName) -> None:
        self.store = PageStore(service_name)
        self.gaps: dict[PageId, Gap] = {}
        self._waiting: dict[PageId, dict[int, PageDelta]] = {}
        self._offered: dict[PageId, set[int]] = {}
        # The known version of a page, if a delta to it was forwarded or originated here.
        self._forwarded: dict[PageId, int] = {}
        self._confirmed_ms: float | None = None

    def age_ms(self, now_ms: int) -> int | None:
        """Return the time since this copy was known to hold the acting controller's state."""
        return None if self._confirmed_ms is None else max(0, round(now_ms - self._confirmed_ms))

    def confirm(self, as_of_ms: float) -> None:
        """Note that this copy holds all that the acting controller had at a time."""
        if self._confirmed_ms is None or as_of_ms > self._confirmed_ms:
            self._confirmed_ms = as_of_ms

    def put(self, page: PlacementPage) -> list[PlacementPage]:
        """Take over a whole page; return the pages that changed, in order."""
        if isinstance(check_page(page), Err) or not self.store.put(page):
            return []
        return [page, *self._apply_waiting(page_id(page), page)]

    def offer(self, delta: PageDelta) -> tuple[DeltaVerdict, list[PlacementPage]]:
        """Apply a delta, or keep it until the version before it is there."""
        place = page_id(delta)
        known = self.store.version(place)
        if delta.to_version <= known:
            return DeltaVerdict(delta.to_version == known and self._is_unsent(place, delta)), []
        base = self.store.get(place)
        applied = apply_delta(base, delta)
        wanted = PageVersion(delta.pins, delta.page_number, delta.to_version)
        if isinstance(applied, Err):
            if isinstance(applied.err_value, DeltaGap):
                return DeltaVerdict(self._wait(place, delta)), []
            # Corrupt on its way or applied to a corrupt base; the sender has the whole page.
            return DeltaVerdict(fetch=wanted), []
        is_new = self._is_new_offer(place, delta.to_version)
        page = applied.ok_value
        return DeltaVerdict(is_new), self.put(page) if page else []

    def originate(self, page: PlacementPage) -> list[PlacementPage]:
        """Take over a page that is pushed from here."""
        changed = self.put(page)
        if changed:
            self._forwarded[page_id(page)] = page.version
        return changed

    def _is_unsent(self, place: PageId, delta: PageDelta) -> bool:
        """Tell whether a delta to the known version is still to be forwarded.

        A node that fetched the page just before the delta arrived would otherwise cut off the
        branch of the tree below it. Its own page shows whether the delta belongs to it.
        """
        decoded = decode_changes(delta)
        if isinstance(decoded, Err) or self._forwarded.get(place) == delta.to_version:
            return False
        if decoded.ok_value.page_digest != self.store.page_digest(place):
            return False
        self._forwarded[place] = delta.to_version
        return True

    def _wait(self, place: PageId, delta: PageDelta) -> bool:
        waiting = self._waiting.setdefault(place, {})
        if len(waiting) < _MAX_WAITING_PER_PAGE or delta.from_version in waiting:
            waiting[delta.from_version] = delta
        gap = self.gaps.get(place)
        if gap is None or delta.to_version > gap.version:
            self.gaps[place] = Gap(delta.to_version, delta.sender.node_id)
        return self._is_new_offer(place, delta.to_version)

    def _is_new_offer(self, place: PageId, version: int) -> bool:
        """Tell whether this version was not offered before; each is forwarded once."""
        offered = self._offered.setdefault(place, set())
        if version in offered or len(offered) >= _MAX_OFFERED_PER_PAGE:
            return False
        offered.add(version)
        return True

    def _apply_waiting(self, place: PageId, page: PlacementPage) -> list[PlacementPage]:
        """Apply the deltas that waited for this page and drop those it made superfluous."""
        changed: list[PlacementPage] = []
        waiting = self._waiting.get(place, {})
        while (delta := waiting.pop(page.version, None)) is not None:
            applied = apply_delta(page, delta)
            if isinstance(applied, Err) or applied.ok_value is None:
                break
            page = applied.ok_value
            self.store.put(page)
            changed.append(page)
        left = {v: d for v, d in waiting.items() if d.to_version > page.version}
        if left:
            self._waiting[place] = left
        else:
            self._waiting.pop(place, None)
        self._close_gap(place, page.version)
        return changed

    def _close_gap(self, place: PageId, version: int) -> None:
        gap = self.gaps.get(place)
        if gap is not None and gap.version <= version:
            del self.gaps[place]
        offered = self._offered.pop(place, set())
        if version in offered:
            self._forwarded[place] = version
        later = {v for v in offered if v > version}
        if later:
            self._offered[place] = later
