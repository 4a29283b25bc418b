"""Hold what the dissemination machine tells its service: acting controllers and log events."""

from dataclasses import dataclass

from nutmeglead.core.events import Event
from nutmeglead.core.ids import RoleEpoch

__all__ = ["Acting", "Notice"]


@dataclass(frozen=True)
class Acting:
    """Name the controller that last announced that it acts for a service."""

    node_id: str
    role_epoch: RoleEpoch


@dataclass(frozen=True)
class Notice:
    """Hold a log event for the service to write."""

    event: Event
    fields: dict[str, object]
