"""Hold the addresses of a service's servers in a page of their own.

Routers learn addresses the way they learn owners: the directory page is written to the table,
pushed and compared like every other page, so that its version never goes back either.
"""

from collections.abc import Sequence

from nutmeglead._generated.messages.ttypes import PlacementPage, ServerEntry
from nutmeglead.core.ids import RowKey, ServiceName
from nutmeglead.ownership.pages import WriteStamp

__all__ = ["DIRECTORY_PAGE", "directory_key", "directory_page", "is_directory"]

# Pin pages are numbered from 0.
DIRECTORY_PAGE = -1


def directory_key(service_name: str) -> RowKey:
    """Return the row key of a service's directory page."""
    return RowKey(f"page/{service_name}/directory")


def directory_page(
    service_name: ServiceName,
    entries: Sequence[ServerEntry],
    previous: PlacementPage | None,
    stamp: WriteStamp,
) -> PlacementPage:
    """Build the next version of a service's directory page."""
    return PlacementPage(
        service_name=service_name,
        pins=True,
        page_number=DIRECTORY_PAGE,
        version=(previous.version if previous else 0) + 1,
        role_epoch=stamp.role_epoch,
        ticket_number=stamp.ticket_number,
        servers=[],
        owners=[],
        epochs=[],
        previous={},
        units=[],
        directory=list(entries),
    )


def is_directory(page: PlacementPage) -> bool:
    """Tell whether a page is a directory page."""
    return bool(page.pins and page.page_number == DIRECTORY_PAGE)
