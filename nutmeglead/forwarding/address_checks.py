"""Ask servers who they are where an answer may come from another server at their address."""

import asyncio
from collections.abc import Callable

from nutmeglead.core.clock import Clock
from nutmeglead.core.ids import ServiceName
from nutmeglead.forwarding.addresses import AddressHolder
from nutmeglead.forwarding.model import ServerIncarnation, ServerRecord
from nutmeglead.forwarding.registry import ServerRegistry
from nutmeglead.forwarding.upstream import Upstream
from nutmeglead.platform.grants import GrantClient

__all__ = ["AddressChecks"]

# As for an order, which takes under 30 ms between failure domains.
CHECK_TIMEOUT_MS = 160
# An answer can be as old as this when it is handled.
MAX_ANSWER_AGE_MS = 500


class AddressChecks:
    """Check the addresses of servers that answer as another server would.

    Requests and orders share the checks and, in the registry, their results. An address goes to
    another server at the earliest `reuse_after_ms` after its server has ended. `health_path`
    returns the path of the health checks of a service, or None if the service is not known.
    """

    def __init__(
        self,
        client: GrantClient,
        registry: ServerRegistry,
        clock: Clock,
        reuse_after_ms: int,
        health_path: Callable[[ServiceName], str | None],
    ) -> None:
        self.reuse_after_ms = reuse_after_ms
        self._client = client
        self._registry = registry
        self._clock = clock
        self._health_path = health_path
        self._running: dict[ServerIncarnation, asyncio.Task[AddressHolder]] = {}

    def check_if_doubtful(self, upstream: Upstream) -> asyncio.Task[AddressHolder] | None:
        """Return a check of the address of a server that has answered as another one would.

        Return None if it must be the server itself, because it has answered a request recently.
        """
        recent_ms = self.reuse_after_ms - MAX_ANSWER_AGE_MS
        if upstream.has_answered_within(recent_ms, self._clock.now_ms()):
            return None
        return self.check(upstream.record)

    def check_again(self) -> None:
        """Check the lost addresses that are due."""
        for incarnation in self._registry.addresses.take_due(self._clock.now_ms()):
            record = self._registry.find(incarnation)
            if record is not None:
                self.check(record)

    def check(self, record: ServerRecord) -> asyncio.Task[AddressHolder] | None:
        """Return the running check of a server's address, or a new one if its service is known."""
        running = self._running.get(record.incarnation)
        if running is not None:
            return running
        health_path = self._health_path(record.service)
        if health_path is None:
            return None
        task = asyncio.get_running_loop().create_task(self._find_holder(record, health_path))
        self._running[record.incarnation] = task
        task.add_done_callback(lambda _: self._running.pop(record.incarnation, None))
        return task

    async def _find_holder(self, record: ServerRecord, health_path: str) -> AddressHolder:
        holder = await self._client.find_holder(record, health_path, CHECK_TIMEOUT_MS)
        self._registry.record_address(record.incarnation, holder, self._clock.now_ms())
        return holder

    def close(self) -> None:
        """Cancel the checks in progress."""
        for task in list(self._running.values()):
            task.cancel()
