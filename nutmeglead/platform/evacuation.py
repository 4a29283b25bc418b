"""Decode the rows by which the platform's operator evacuates failure domains."""

from collections.abc import Iterator

from nutmeglead.core.ids import FailureDomainName
from nutmeglead.platform.store import StoreRow, StoreRows
from nutmeglead.platform.wire import EVACUATION_KEY_PREFIX
from nutmeglead.scheduling.evacuation import EvacuationRow

__all__ = ["decode_evacuation", "evacuation_key", "evacuation_rows"]


def decode_evacuation(row: StoreRow) -> EvacuationRow | None:
    """Return the evacuation that a row of the manifest table states, or None for another row.

    The key is sufficient: the value has no specified format, and any value evacuates the domain.
    """
    domain = row.key.removeprefix(EVACUATION_KEY_PREFIX)
    if row.part or domain == row.key or not domain:
        return None
    return EvacuationRow(FailureDomainName(domain), row.value is not None, row.changed_ms)


def evacuation_rows(rows: StoreRows) -> Iterator[EvacuationRow]:
    """Yield the evacuations among the rows of the manifest table."""
    for row in rows.rows:
        decoded = decode_evacuation(row)
        if decoded is not None:
            yield decoded


def evacuation_key(domain: FailureDomainName) -> str:
    """Return the key of the row that evacuates a domain, for emulated deployments."""
    return EVACUATION_KEY_PREFIX + domain
