"""Determine when the nodes of a witness set have lost the right to send grants of older maps.

A node sends grants of a map for RENEW_RIGHT_MS after a moment at which enough of its witnesses, or
the store, knew no newer map. A majority of the witnesses is enough for STORE_READ_VALID_MS after
one of them has read the map in the store; later, all of them are needed, until the read is
STORE_READ_VALID_FOR_ALL_MS old. A read that returns an older map began before the newer one was
written. Three things therefore end the rights under all maps before a version, each by itself:

- So many witnesses know the version that the others are no majority. The rights end RENEW_RIGHT_MS
  later.
- One of the witnesses knows the version, so that they are never complete again, and
  STORE_READ_VALID_MS have passed. This ends the rights of most witnesses although they have left
  for good and will never know the version.
- STORE_READ_VALID_FOR_ALL_MS have passed. This ends the rights of a set of which nobody is left.
"""

from nutmeglead.core.ids import NodeId, ServiceName
from nutmeglead.peers.membership import Membership
from nutmeglead.ranges.model import RangeMap, WitnessSets

__all__ = [
    "CLOCK_DRIFT",
    "RENEW_RIGHT_MS",
    "STORE_READ_VALID_FOR_ALL_MS",
    "STORE_READ_VALID_MS",
    "RightsExpiry",
]

RENEW_RIGHT_MS = 1_000
# Longer times keep the renewals going through longer outages of the store, with some witnesses or
# with all of them. Shorter ones give the keys of crashed servers a new owner sooner after the loss
# of most witnesses or of all of them.
STORE_READ_VALID_MS = 30_000
STORE_READ_VALID_FOR_ALL_MS = 600_000
# Share by which another clock may run slow; for a server's clock, this is a rule of the platform.
CLOCK_DRIFT = 0.02
# The longest times, by this node's clock, for which another node's read of the store is valid.
MAX_READ_VALID_MS = round(STORE_READ_VALID_MS * (1 + CLOCK_DRIFT))
MAX_READ_VALID_FOR_ALL_MS = round(STORE_READ_VALID_FOR_ALL_MS * (1 + CLOCK_DRIFT))
# Time for which a replaced set stays listed after its rights have ended, longer than the transit of
# a grant and any hold: moves that begin then must still wait for the holds that it may have renewed
# last.
EXPIRED_SET_LISTED_MS = 3_000
# Number of map versions for which times are kept. Transfers begun under recent maps may still wait
# for these times; older ones have ended.
KEPT_MAP_VERSIONS = 64


# A map version and a witness set.
_VersionAndSet = tuple[int, tuple[NodeId, ...]]


class RightsExpiry:
    """Record when map versions were first known here and to witnesses, and which sets they list."""

    def __init__(self, service: ServiceName, membership: Membership) -> None:
        self._service = service
        self._membership = membership
        # When this node first asked about a map version, which was then in the store.
        self._known_ms: dict[int, int] = {}
        # When a node of a set was first seen to know a version, and when so many of them were that
        # the others are no majority.
        self._incomplete_ms: dict[_VersionAndSet, int] = {}
        self._no_majority_ms: dict[_VersionAndSet, int] = {}
        # The version that replaced each listed set, according to consecutive versions up to
        # `_last_version`.
        self._replaced: dict[tuple[NodeId, ...], int] = {}
        self._last_version = 0

    def end_ms(self, witnesses: tuple[NodeId, ...], map_version: int, now_ms: int) -> int | None:
        """Return when the rights of a set under maps before a version end.

        The version is in the store. Return None while the end is not known.
        """
        known_ms = self._known_ms.setdefault(map_version, now_ms)
        self._record_informed(witnesses, map_version, now_ms)
        self._discard_outdated(map_version)
        key = (map_version, witnesses)
        if key in self._no_majority_ms:
            return self._no_majority_ms[key] + RENEW_RIGHT_MS
        read_end_ms = known_ms + MAX_READ_VALID_FOR_ALL_MS
        if key in self._incomplete_ms:
            incomplete_end_ms = self._incomplete_ms[key] + RENEW_RIGHT_MS
            read_end_ms = min(read_end_ms, max(incomplete_end_ms, known_ms + MAX_READ_VALID_MS))
        return read_end_ms if now_ms >= read_end_ms else None

    def _record_informed(
        self, witnesses: tuple[NodeId, ...], map_version: int, now_ms: int
    ) -> None:
        """Record which thresholds the witnesses that are known to know a version have reached."""
        key = (map_version, witnesses)
        if key in self._no_majority_ms:
            return
        membership = self._membership
        informed = membership.views_at_or_above(self._service, map_version, witnesses)
        if informed or membership.own_id in witnesses:
            self._incomplete_ms.setdefault(key, now_ms)
        if not membership.is_majority_without(informed, witnesses):
            self._no_majority_ms[key] = now_ms

    def _discard_outdated(self, map_version: int) -> None:
        """Discard the times of old versions, but for those that have replaced a listed set."""
        outdated = map_version - KEPT_MAP_VERSIONS
        kept = set(self._replaced.values())
        for version in [v for v in self._known_ms if v <= outdated and v not in kept]:
            del self._known_ms[version]
        for times_ms in (self._incomplete_ms, self._no_majority_ms):
            for key in [key for key in times_ms if key[0] <= outdated and key[0] not in kept]:
                del times_ms[key]

    def unexpired_sets(self, ranges: RangeMap, now_ms: int) -> WitnessSets:
        """Return the witness sets of a map without the replaced ones whose last holds have ended.

        The acting node calls this with each version of the map. After a version that it did not
        see, a set may have been the current one again in the meantime, so its time starts anew.
        """
        is_continuous = ranges.version - self._last_version in (0, 1)
        known = self._replaced if is_continuous else {}
        replaced = ranges.witness_sets[:-1]
        self._replaced = {witnesses: known.get(witnesses, ranges.version) for witnesses in replaced}
        self._last_version = ranges.version
        kept = [witnesses for witnesses in replaced if not self._has_expired(witnesses, now_ms)]
        return (*kept, *ranges.witness_sets[-1:])

    def _has_expired(self, witnesses: tuple[NodeId, ...], now_ms: int) -> bool:
        """Return whether the holds that a replaced witness set may have renewed have ended."""
        end_ms = self.end_ms(witnesses, self._replaced[witnesses], now_ms)
        return end_ms is not None and now_ms > end_ms + EXPIRED_SET_LISTED_MS
