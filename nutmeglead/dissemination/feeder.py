"""Choose the controller that feeds a router with page deltas."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from nutmeglead._generated.common.ttypes import Address
from nutmeglead._generated.settings.ttypes import DisseminationSettings
from nutmeglead.dissemination.members import NEVER_MS

__all__ = ["Feeder", "FeederChoice"]


@dataclass(frozen=True)
class Feeder:
    """Name a controller and its rpc address."""

    node_id: str
    address: Address


class FeederChoice:
    """Prefer the controller on the same VM; while it is silent, use one other entry VM."""

    def __init__(
        self, local: Feeder, settings: DisseminationSettings, rng: random.Random, now_ms: int
    ) -> None:
        self._local = local
        self._silent_after_ms = settings.silent_after_ms
        self._rng = rng
        self._started_ms = now_ms
        self._heard_ms: dict[str, float] = {}
        self._other: Feeder | None = None
        self._failed_id = ""

    def hear(self, node_id: str, now_ms: int) -> None:
        """Note an answer of a controller."""
        if node_id == self._local.node_id or self._is_other(node_id):
            self._heard_ms[node_id] = now_ms

    def fail(self, node_id: str) -> None:
        """Note a missing answer; another entry VM is then tried at once."""
        if self._is_other(node_id):
            self._failed_id = node_id
            self._heard_ms.pop(node_id, None)
            self._other = None

    def targets(self, others: Sequence[Feeder], now_ms: int) -> list[Feeder]:
        """Return the controllers to send heartbeats to now."""
        if not self._is_local_silent(now_ms):
            return [self._local]
        if self._other is None:
            avoided = (self._local.node_id, self._failed_id)
            candidates = [feeder for feeder in others if feeder.node_id not in avoided]
            self._other = self._rng.choice(candidates) if candidates else None
            self._failed_id = ""
        return [self._local] if self._other is None else [self._local, self._other]

    def current(self, now_ms: int) -> Feeder | None:
        """Return the controller to compare digests with, or None if there is none."""
        return self._other if self._is_local_silent(now_ms) else self._local

    def is_cut_off(self, now_ms: int) -> bool:
        """Tell whether no controller answered for silent_after_ms."""
        last_ms = max([self._started_ms, *self._heard_ms.values()])
        return now_ms - last_ms > self._silent_after_ms

    def _is_other(self, node_id: str) -> bool:
        return self._other is not None and self._other.node_id == node_id

    def _is_local_silent(self, now_ms: int) -> bool:
        heard_ms = max(self._heard_ms.get(self._local.node_id, NEVER_MS), self._started_ms)
        return now_ms - heard_ms > self._silent_after_ms
