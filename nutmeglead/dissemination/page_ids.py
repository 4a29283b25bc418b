"""Name pages inside one service."""

from typing import NamedTuple

from nutmeglead._generated.messages.ttypes import PageDelta, PageVersion, PlacementPage

__all__ = ["PageId", "page_id"]


class PageId(NamedTuple):
    """Name a page of a service."""

    pins: bool
    page_number: int


def page_id(page: PlacementPage | PageVersion | PageDelta) -> PageId:
    """Return the id of the page that a message or an entry of a version list is about."""
    return PageId(page.pins, page.page_number)
