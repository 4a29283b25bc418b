"""Find the servers that own the keys of a service's requests."""

from collections.abc import Callable, Iterable, Mapping

from nutmeglead.forwarding.addresses import ServerAddresses
from nutmeglead.forwarding.model import ServerIncarnation
from nutmeglead.forwarding.request import CallerRequest
from nutmeglead.forwarding.server_use import ServerUse
from nutmeglead.forwarding.upstream import Upstream
from nutmeglead.ranges.model import KeyRange, RangeMap

__all__ = ["KeyOwners"]


class KeyOwners:
    """Find owners by the range map, and tell which requests none can serve.

    `may_move_keys` returns whether the store may be reached, without which keys get no new owner.
    """

    def __init__(
        self,
        current_map: Callable[[], RangeMap | None],
        upstreams: Mapping[ServerIncarnation, Upstream],
        server_use: ServerUse,
        addresses: ServerAddresses,
        may_move_keys: Callable[[], bool],
    ) -> None:
        self._current_map = current_map
        self._upstreams = upstreams
        self._server_use = server_use
        self._addresses = addresses
        self._may_move_keys = may_move_keys

    def usable(self, request: CallerRequest) -> Upstream | None:
        """Return the owner of the request's key, or None if it cannot take requests now.

        It cannot while the key moves, or if the server may get nothing or was just unreachable.
        """
        entry = self._locate(request)
        if entry is None or entry.owner is None or entry.is_pending:
            return None
        upstream = self._upstreams.get(entry.owner)
        if upstream is None or not self._server_use.may_send_to(upstream, has_keys=True):
            return None
        return None if upstream.is_unreachable(upstream.clock.now_ms()) else upstream

    def is_unservable(self, request: CallerRequest) -> bool:
        """Return whether the owner of the request's key is gone and no other can get the key."""
        # Most requests come while no address is lost.
        if not len(self._addresses):
            return False
        entry = self._locate(request)
        if entry is None or entry.owner is None or entry.is_pending:
            return False
        return self._addresses.is_lost(entry.owner) and not self._may_move_keys()

    def count_alike(self, request: CallerRequest, others: Iterable[CallerRequest]) -> int:
        """Return how many other requests are for keys of the same owner."""
        entry = self._locate(request)
        if entry is None:
            return 0
        entries = (self._locate(other) for other in others)
        return sum(other is not None and other.owner == entry.owner for other in entries)

    def _locate(self, request: CallerRequest) -> KeyRange | None:
        ranges = self._current_map()
        return None if ranges is None or request.key is None else ranges.locate(request.key)
