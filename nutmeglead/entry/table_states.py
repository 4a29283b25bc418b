"""Report in heartbeats which versions of the store's tables this node has, and the store's age."""

from collections.abc import Sequence

from nutmeglead.core.clock import Clock
from nutmeglead.entry.contact import StoreContact
from nutmeglead.entry.store_era import StoreEra
from nutmeglead.entry.watch import TableWatch
from nutmeglead.peers.membership import Membership
from nutmeglead.peers.peer import STORE_SILENT_AFTER_MS
from nutmeglead.peers.service import PeerHandler
from nutmeglead.platform.store import StoreClient

__all__ = ["TableStates"]


class TableStates(PeerHandler):
    """Hold the watches of an entry process, and report the versions of one era of the store."""

    store: StoreClient
    store_contact: StoreContact
    store_era: StoreEra
    membership: Membership
    clock: Clock
    _table_watches: Sequence[TableWatch]

    def table_era(self) -> int:
        """Return the highest era of the store of which this node has rows."""
        return max((watch.era for watch in self._table_watches), default=0)

    def table_versions(self) -> dict[str, int]:
        """Return the version of the newest change of each table whose rows are of `table_era`."""
        era = self.table_era()
        watches = (watch for watch in self._table_watches if watch.era == era)
        return {watch.table: watch.changed_version for watch in watches}

    def unconfirmed_versions(self) -> dict[str, int]:
        """Return by table the version of rows whose missing entries may have lapsed, if any."""
        era = self.table_era()
        watches = (watch for watch in self._table_watches if watch.era == era)
        versions = {watch.table: watch.unconfirmed_version for watch in watches}
        return {table: version for table, version in versions.items() if version}

    def store_age_ms(self) -> int:
        """Return for how long the store has not answered this node, or 0 while it does."""
        return max(self.store_contact.age_ms, self.store.unanswered_ms())

    def may_write_maps(self) -> bool:
        """Return whether the store answers this node or another one that is alive."""
        if self.store_age_ms() <= STORE_SILENT_AFTER_MS:
            return True
        return self.membership.is_store_reached_by_peers(self.clock.now_ms())

    def store_age_s(self) -> float:
        """Return `store_age_ms` in seconds."""
        return self.store_age_ms() / 1000
