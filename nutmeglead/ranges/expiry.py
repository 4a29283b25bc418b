"""Determine when the nodes of a witness set have lost the right to send grants of older maps.

A node sends grants of a map for RENEW_RIGHT_MS after a moment at which a majority of its witnesses,
or the store, knew no newer map. Two things end the rights under all maps before a version:

- So many witnesses know the version that the others are no majority. The rights end RENEW_RIGHT_MS
  later.
- STORE_READ_VALID_MS have passed since the version was in the store. A majority confirms a map only
  for this time after one of its nodes has read the store, and a read that returns an older map
  began before the write. This ends the rights of witnesses that have left for good, which never
  report the version.
"""

from nutmeglead.core.ids import NodeId, ServiceName
from nutmeglead.peers.membership import Membership
from nutmeglead.ranges.model import RangeMap, WitnessSets

__all__ = ["CLOCK_DRIFT", "RENEW_RIGHT_MS", "STORE_READ_VALID_MS", "RightsExpiry"]

RENEW_RIGHT_MS = 1_000
# A longer time keeps the renewals going through longer outages of the store; a shorter one gives
# the keys of crashed servers a new owner sooner after the loss of most witnesses.
STORE_READ_VALID_MS = 30_000
# Share by which another clock may run slow; for a server's clock, this is a rule of the platform.
CLOCK_DRIFT = 0.02
# Longest time, by this node's clock, for which another node's read of the store may be valid.
MAX_READ_VALID_MS = round(STORE_READ_VALID_MS * (1 + CLOCK_DRIFT))
# Time for which a replaced set stays listed after its rights have ended, longer than any hold:
# moves that begin then must still wait for the holds that it may have renewed last.
EXPIRED_SET_LISTED_MS = 3_000
# Number of map versions for which times are kept. Transfers begun under recent maps may still wait
# for these times; older ones have ended.
KEPT_MAP_VERSIONS = 64


class RightsExpiry:
    """Record since when map versions are known, and when replaced witness sets were first seen."""

    def __init__(self, service: ServiceName, membership: Membership) -> None:
        self._service = service
        self._membership = membership
        # When so many nodes of a witness set were first seen to know a map version that the others
        # are no majority.
        self._majority_end_ms: dict[tuple[int, tuple[NodeId, ...]], int] = {}
        # When this node first asked about a map version, which was then in the store.
        self._known_ms: dict[int, int] = {}
        # The version that replaced each listed set, and when it was first seen, according to
        # consecutive versions up to `_last_version`.
        self._replaced: dict[tuple[NodeId, ...], tuple[int, int]] = {}
        self._last_version = 0

    def end_ms(self, witnesses: tuple[NodeId, ...], map_version: int, now_ms: int) -> int | None:
        """Return when the rights of a set under maps before a version end.

        The version is in the store. Return None while the end is not known.
        """
        known_ms = self._known_ms.setdefault(map_version, now_ms)
        majority_end_ms = self._no_majority_since_ms(witnesses, map_version, now_ms)
        self._discard_outdated(map_version)
        if majority_end_ms is not None:
            return majority_end_ms + RENEW_RIGHT_MS
        read_end_ms = known_ms + MAX_READ_VALID_MS
        return read_end_ms if now_ms >= read_end_ms else None

    def _no_majority_since_ms(
        self, witnesses: tuple[NodeId, ...], map_version: int, now_ms: int
    ) -> int | None:
        """Return when the witnesses that may not know a version were first too few, or None."""
        key = (map_version, witnesses)
        if key not in self._majority_end_ms:
            informed = self._membership.views_at_or_above(self._service, map_version, witnesses)
            if self._membership.is_majority_without(informed, witnesses):
                return None
            self._majority_end_ms[key] = now_ms
        return self._majority_end_ms[key]

    def _discard_outdated(self, map_version: int) -> None:
        outdated = map_version - KEPT_MAP_VERSIONS
        self._majority_end_ms = {
            key: at_ms for key, at_ms in self._majority_end_ms.items() if key[0] > outdated
        }
        self._known_ms = {
            version: at_ms for version, at_ms in self._known_ms.items() if version > outdated
        }

    def unexpired_sets(self, ranges: RangeMap, now_ms: int) -> WitnessSets:
        """Return the witness sets of a map without the replaced ones whose last holds have ended.

        The acting node calls this with each version of the map. After a version that it did not
        see, a set may have been the current one again in the meantime, so its time starts anew.
        """
        is_continuous = ranges.version - self._last_version in (0, 1)
        known = self._replaced if is_continuous else {}
        replaced = ranges.witness_sets[:-1]
        self._replaced = {
            witnesses: known.get(witnesses, (ranges.version, now_ms)) for witnesses in replaced
        }
        self._last_version = ranges.version
        kept = [witnesses for witnesses in replaced if not self._has_expired(witnesses, now_ms)]
        return (*kept, *ranges.witness_sets[-1:])

    def _has_expired(self, witnesses: tuple[NodeId, ...], now_ms: int) -> bool:
        """Return whether the holds that a replaced witness set may have renewed have ended."""
        replacing_version, replaced_ms = self._replaced[witnesses]
        ends_ms = [replaced_ms + MAX_READ_VALID_MS]
        end_ms = self.end_ms(witnesses, replacing_version, now_ms)
        if end_ms is not None:
            ends_ms.append(end_ms)
        return now_ms > min(ends_ms) + EXPIRED_SET_LISTED_MS
