"""Read and write a service's rows in the store: the role of its acting node and its range map."""

import logging
from dataclasses import dataclass

from result import Err, Ok, Result

from nutmeglead._generated.audit.ttypes import AuditRecord
from nutmeglead._generated.peers.ttypes import RoleRow
from nutmeglead.core.codec import decode, encode
from nutmeglead.core.errors import CodecError, PlatformError
from nutmeglead.core.ids import NodeId, ServiceName
from nutmeglead.platform.store import (
    StoreAnswerLost,
    StoreClient,
    StoreConflict,
    StoreRow,
    StoreUnavailable,
)
from nutmeglead.ranges.audit import audit_rows
from nutmeglead.ranges.model import RangeMap, decode_map, encode_map

__all__ = [
    "MAP_KEY",
    "RANGES_TABLE",
    "ROLES_TABLE",
    "ROLE_KEY",
    "MapOutdated",
    "RoleLost",
    "RoleRows",
    "StoredState",
]

logger = logging.getLogger(__name__)

ROLES_TABLE = "roles"
RANGES_TABLE = "ranges"
ROLE_KEY = "acting"
MAP_KEY = "map"


@dataclass
class RoleLost(PlatformError):
    """Report a write that failed because this node no longer holds the service's role."""

    service: ServiceName
    reason: str = "another node acts"
    # The version of the role's row that was found, if it was.
    role_version: int | None = None

    def __str__(self) -> str:
        return f"{self.reason} for {self.service}"


@dataclass
class MapOutdated(PlatformError):
    """Report a write that failed because of an earlier write of the map by this node.

    Only the holder of the role writes the map, and the role's row is as this node wrote it.
    """

    service: ServiceName

    def __str__(self) -> str:
        return f"an earlier write of this node has changed the map of {self.service}"


@dataclass(frozen=True)
class StoredState:
    """Hold the role and the map in the store, None for a row that does not exist, and its era."""

    role: RoleRow | None
    ranges: RangeMap | None
    era: int

    @property
    def is_of_present_era(self) -> bool:
        """Return whether the map was written in the present era of the store.

        If not, a newer map may be lost, and the one in the store confirms nothing.
        """
        return self.era == (0 if self.ranges is None else self.ranges.era)


class RoleRows:
    """Read and write the rows of one service.

    A write succeeds only if both rows still have the versions that this node last read or wrote,
    so it fails once another node has taken the role.
    """

    def __init__(
        self, store: StoreClient, service: ServiceName, node_id: NodeId, incarnation: int
    ) -> None:
        self._store = store
        self._service = service
        self._node_id = node_id
        self._incarnation = incarnation
        self._role_version = 0
        self._map_version = 0
        # The era of the store to which both versions belong.
        self._era = 0

    @property
    def is_outdated(self) -> bool:
        """Return whether the store has returned from an older copy since `read`."""
        return self._store.era != self._era

    def is_own(self, role: RoleRow | None) -> bool:
        """Return whether a role row names this node in its present incarnation.

        It may do so although this node has learned of no write that succeeded.
        """
        own = (self._node_id, self._incarnation)
        return role is not None and (role.node_id, role.incarnation) == own

    async def read(self) -> Result[StoredState, StoreUnavailable | CodecError]:
        """Return the role and the map, and record the rows' versions for the next write."""
        role_rows = await self._store.read(ROLES_TABLE, self._service)
        if isinstance(role_rows, Err):
            return role_rows
        map_rows = await self._store.read(RANGES_TABLE, self._service)
        if isinstance(map_rows, Err):
            return map_rows
        self._era = role_rows.ok_value.era
        if map_rows.ok_value.era != self._era:
            return Err(StoreUnavailable("the store's era rose between two reads"))
        role_row = _find_row(role_rows.ok_value.rows, ROLE_KEY)
        map_row = _find_row(map_rows.ok_value.rows, MAP_KEY)
        self._role_version = role_row.version if role_row else 0
        self._map_version = map_row.version if map_row else 0
        role: RoleRow | None = None
        if role_row is not None and role_row.value:
            decoded = decode(RoleRow, role_row.value)
            if isinstance(decoded, Err):
                return decoded
            role = decoded.ok_value
        if map_row is None or not map_row.value:
            return Ok(StoredState(role, None, self._era))
        return decode_map(map_row.value).map(lambda ranges: StoredState(role, ranges, self._era))

    async def read_map(self) -> Result[StoredState, StoreUnavailable | CodecError]:
        """Return the state without the role, and keep the versions for later writes."""
        rows = await self._store.read(RANGES_TABLE, self._service)
        if isinstance(rows, Err):
            return rows
        era, row = rows.ok_value.era, _find_row(rows.ok_value.rows, MAP_KEY)
        if row is None or not row.value:
            return Ok(StoredState(None, None, era))
        return decode_map(row.value).map(lambda ranges: StoredState(None, ranges, era))

    async def write_role(
        self, epoch: int, audit: AuditRecord
    ) -> Result[None, RoleLost | StoreUnavailable | StoreAnswerLost]:
        """Write the role row for this node under an epoch, and the audit record of it.

        Both rows must have the versions that were last read.
        """
        row = encode(RoleRow(self._node_id, self._incarnation, epoch))
        target = self._row(ROLES_TABLE, ROLE_KEY, self._role_version, row)
        # Expecting the map's row too ensures that the map is still the one that was read.
        expected = [target, self._row(RANGES_TABLE, MAP_KEY, self._map_version, None)]
        audit_written, audit_removed = audit_rows(self._service, audit)
        written = await self._write(expected, target, audit_written, audit_removed)
        if isinstance(written, Err):
            return written
        self._role_version = written.ok_value
        return Ok(None)

    async def write_map(
        self, ranges: RangeMap, audit: AuditRecord | None = None
    ) -> Result[None, RoleLost | MapOutdated | StoreUnavailable | StoreAnswerLost]:
        """Write the next map and the audit record of its moves, if this node holds the role."""
        role = self._row(ROLES_TABLE, ROLE_KEY, self._role_version, None)
        target = self._row(RANGES_TABLE, MAP_KEY, self._map_version, encode_map(ranges))
        audit_written, audit_removed = (
            audit_rows(self._service, audit) if audit is not None else ([], [])
        )
        written = await self._write([role, target], target, audit_written, audit_removed)
        if isinstance(written, Ok):
            self._map_version = written.ok_value
            return Ok(None)
        error = written.err_value
        if isinstance(error, RoleLost) and error.role_version == self._role_version:
            return Err(MapOutdated(self._service))
        return Err(error)

    def _row(self, table: str, key: str, version: int, value: bytes | None) -> StoreRow:
        return StoreRow(table, self._service, key, value, version)

    async def _write(
        self,
        expected: list[StoreRow],
        target: StoreRow,
        audit_written: list[StoreRow],
        audit_removed: list[StoreRow],
    ) -> Result[int, RoleLost | StoreUnavailable | StoreAnswerLost]:
        """Write a row and the audit rows in one transaction; return the row's new version.

        If a version differs from the expected one but the row already has the value, an earlier
        write was applied and its answer was lost. Versions of an earlier era of the store say
        nothing, since they are issued again.
        """
        if self.is_outdated:
            return Err(RoleLost(self._service, "the store has returned from an older copy"))
        written = await self._store.transact(expected, [target, *audit_written], audit_removed)
        if self.is_outdated:
            return Err(RoleLost(self._service, "the store has returned from an older copy"))
        if isinstance(written, Ok):
            return written
        error = written.err_value
        if not isinstance(error, StoreConflict):
            return Err(error)
        found = _find_row(error.rows, target.key)
        if found is not None and found.value == target.value:
            return Ok(found.version)
        logger.info(
            "%s: writing the row %s to the store failed: %s", self._service, target.key, error
        )
        role = _find_row(error.rows, ROLE_KEY)
        return Err(RoleLost(self._service, role_version=role.version if role else None))


def _find_row(rows: tuple[StoreRow, ...], key: str) -> StoreRow | None:
    return next((row for row in rows if row.key == key and row.version), None)
