"""Hold requests for units that are being handed over, bounded in count, bytes and time."""

from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from nutmeglead._generated.settings.ttypes import ServiceSettings
from nutmeglead.routing.errors import HandoverWaitEnded, HandoverWaitFull

__all__ = ["HeldRequest", "HoldingArea"]


@dataclass(frozen=True)
class HeldRequest:
    """Describe a waiting request; `size_bytes` is what its buffered body takes."""

    request_id: int
    key: str
    deadline_ms: int
    size_bytes: int
    held_since_ms: int


def _deadline_order(request: HeldRequest) -> tuple[int, int]:
    return request.deadline_ms, request.request_id


class HoldingArea:
    """Keep one service's waiting requests; the caller wakes what it takes out."""

    def __init__(self, service: ServiceSettings) -> None:
        self._service = service
        self._held: dict[int, HeldRequest] = {}
        self.held_bytes = 0

    def __len__(self) -> int:
        return len(self._held)

    def hold(
        self, request: HeldRequest, now_ms: int
    ) -> Result[int, HandoverWaitFull | HandoverWaitEnded]:
        """Admit a request; return the time at which its wait ends."""
        end_ms = min(
            request.deadline_ms, request.held_since_ms + self._service.handover_max_wait_ms
        )
        if end_ms <= now_ms:
            return Err(HandoverWaitEnded(f"waited {now_ms - request.held_since_ms} ms"))
        if len(self._held) >= self._service.handover_max_count:
            return Err(HandoverWaitFull(f"{len(self._held)} requests wait already"))
        if self.held_bytes + request.size_bytes > self._service.handover_max_bytes:
            return Err(HandoverWaitFull(f"{self.held_bytes} bytes wait already"))
        self._held[request.request_id] = request
        self.held_bytes += request.size_bytes
        return Ok(end_ms)

    def drop(self, request_id: int) -> None:
        """Remove a request that was woken, expired or whose caller is gone."""
        request = self._held.pop(request_id, None)
        if request is not None:
            self.held_bytes -= request.size_bytes

    def in_deadline_order(self) -> list[HeldRequest]:
        """List the waiting requests, the earliest deadline first."""
        return sorted(self._held.values(), key=_deadline_order)

    def take_ready(self, is_ready: Callable[[str], bool]) -> list[HeldRequest]:
        """Take out the requests whose key is ready, the earliest deadline first."""
        ready = [request for request in self.in_deadline_order() if is_ready(request.key)]
        for request in ready:
            self.drop(request.request_id)
        return ready

    def take_expired(self, now_ms: int) -> list[HeldRequest]:
        """Take out the requests whose wait has ended, the earliest deadline first."""
        max_wait_ms = self._service.handover_max_wait_ms
        expired = [
            request
            for request in self.in_deadline_order()
            if min(request.deadline_ms, request.held_since_ms + max_wait_ms) <= now_ms
        ]
        for request in expired:
            self.drop(request.request_id)
        return expired
