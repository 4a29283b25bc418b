"""Apply rows of the manifest and server tables to this node's state."""

import logging
from dataclasses import replace

from result import Err

from nutmeglead.core.clock import Clock
from nutmeglead.core.events import Event, log_event
from nutmeglead.core.ids import ServerId
from nutmeglead.forwarding.forwarder import Forwarder
from nutmeglead.forwarding.model import ServerRecord
from nutmeglead.forwarding.registry import ServerRegistry
from nutmeglead.platform.evacuation import evacuation_rows
from nutmeglead.platform.manifest import ManifestDecoder
from nutmeglead.platform.registry import decode_server
from nutmeglead.platform.store import StoreRow, StoreRows
from nutmeglead.platform.wire import MANIFEST_KEY, SERVERS_TABLE

__all__ = ["apply_evacuation_rows", "apply_manifest_rows", "apply_server_rows"]

logger = logging.getLogger(__name__)

# The log line of a manifest names at most this many of its faults.
MAX_LOGGED_FAULTS = 10
# Rows that a node reads from the store at its start are dated by that start, which is up to 400 ms
# before the read; older dates come from a peer that knows when the rows changed.
FIRST_READ_MS = 1_000


def apply_manifest_rows(
    forwarder: Forwarder, decoder: ManifestDecoder, clock: Clock, rows: StoreRows
) -> None:
    """Apply the manifests among the rows; one that cannot be decoded is logged and ignored."""
    for row in rows.rows:
        if row.key != MANIFEST_KEY or row.part or row.value is None:
            continue
        started_ms = clock.now_ms()
        decoded = decoder.decode(row.value)
        now_ms = clock.now_ms()
        if isinstance(decoded, Err):
            log_event(logger, Event.MANIFEST_REFUSED, row=row.version, error=str(decoded.err_value))
            continue
        manifest = decoded.ok_value
        forwarder.apply_manifest(
            manifest,
            row=row.version,
            size_bytes=len(row.value),
            age_ms=_age_ms(row, now_ms),
            decode_ms=now_ms - started_ms,
        )
        if manifest.faults:
            log_event(
                logger,
                Event.MANIFEST_PARTS_REFUSED,
                version=manifest.version,
                count=len(manifest.faults),
                faults=manifest.faults[:MAX_LOGGED_FAULTS],
            )


def apply_evacuation_rows(
    registry: ServerRegistry, clock: Clock, rows: StoreRows, is_snapshot: bool
) -> None:
    """Follow the evacuations of failure domains among the rows of the manifest table."""
    now_ms = clock.now_ms()
    evacuations = registry.evacuations
    ages_ms = {domain: evacuations.age_ms(domain, now_ms) for domain in evacuations.domains}
    changes = registry.apply_evacuations(evacuation_rows(rows), is_snapshot)
    for domain in changes.began:
        log_event(
            logger,
            Event.EVACUATION_BEGAN,
            domain=domain,
            row=rows.version,
            age_ms=evacuations.age_ms(domain, now_ms),
            servers=registry.count_servers_in(domain),
        )
    for domain in changes.ended:
        log_event(
            logger,
            Event.EVACUATION_ENDED,
            domain=domain,
            row=rows.version,
            lasted_ms=ages_ms[domain],
            servers=registry.count_servers_in(domain),
        )


def apply_server_rows(
    registry: ServerRegistry,
    clock: Clock,
    rows: StoreRows,
    is_snapshot: bool,
    after_outage: bool,
) -> None:
    """Update the registry with changed servers, and remove servers without an entry.

    An entry that cannot be decoded is logged; in a snapshot its server counts as removed.
    """
    now_ms, is_first = clock.now_ms(), not registry.ids()
    changed = []
    changed_ms = {}
    versions = {}
    removed = set()
    present = set()
    for row in rows.rows:
        if row.part:
            continue
        server_id = ServerId(row.key)
        if row.value is None:
            removed.add(server_id)
            _log_server_change(row, "removed", now_ms, may_return=after_outage)
            continue
        decoded = decode_server(row.key, row.value)
        if isinstance(decoded, Err):
            log_event(logger, Event.SERVER_REFUSED, server=row.key, error=str(decoded.err_value))
            continue
        present.add(server_id)
        record = decoded.ok_value
        if is_first and row.changed_ms is not None and now_ms - row.changed_ms < FIRST_READ_MS:
            record = _without_elapsed_warmup(record, clock.wall_ms())
        changed.append(record)
        versions[server_id] = row.version
        if row.changed_ms is not None:
            changed_ms[server_id] = row.changed_ms
        _log_server_change(
            row,
            decoded.ok_value.state.value,
            now_ms,
            warmup_left_ms=decoded.ok_value.warmup_left_ms,
        )
    if is_snapshot:
        for server_id in registry.ids() - present - removed:
            missing = StoreRow(SERVERS_TABLE, "", server_id, None, rows.version)
            _log_server_change(missing, "removed", now_ms, may_return=after_outage)
        removed |= registry.ids() - present
    registry.apply(changed, removed, now_ms, after_outage, changed_ms, versions)


def _without_elapsed_warmup(record: ServerRecord, wall_ms: int) -> ServerRecord:
    """Return a record whose warm-up counts from the server's start.

    The time at which the entry was written is not known, and most entries state the warm-up after a
    start; one that was stated for a server that runs for longer would make it cold on all nodes
    that start now.
    """
    running_ms = max(0, wall_ms - record.incarnation.started_ms)
    return replace(record, warmup_left_ms=max(0, record.warmup_left_ms - running_ms))


def _log_server_change(
    row: StoreRow,
    state: str,
    now_ms: int,
    may_return: bool | None = None,
    warmup_left_ms: int | None = None,
) -> None:
    """Log a server's new state with the longest time since its row can have changed.

    `may_return` tells of a removed server whether it is kept, because its entry may have lapsed in
    an outage of the store.
    """
    log_event(
        logger,
        Event.SERVER_CHANGED,
        server=row.key,
        state=state,
        row=row.version,
        age_ms=_age_ms(row, now_ms),
        may_return=may_return,
        warmup_left_ms=warmup_left_ms,
    )


def _age_ms(row: StoreRow, now_ms: int) -> int | None:
    """Return the longest time since a row can have changed in ms, or None if it is not known."""
    return None if row.changed_ms is None else now_ms - row.changed_ms
