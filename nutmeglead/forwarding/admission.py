"""Limit the requests to a server that gets more of them than it can answer in time.

Many nodes send requests to the same owner of a key, and each knows the others' requests in flight
only as of their last reports. A limit on what is in flight makes all nodes send at once whenever
the reports show room. Instead, every node sends the same adapted share of its own requests.
"""

import math
import random
from dataclasses import dataclass

__all__ = ["AdmissionSettings", "AdmissionShare", "ServerLoadModel"]


@dataclass(frozen=True)
class AdmissionSettings:
    """Set the goal and the gains of the control of admission shares.

    The goal is the number of requests in flight with which a new one is expected to take
    `target_share` of the target latency. The gains give the change of the share's logarithm at each
    update: for the distance from the goal, and for the change of the requests in flight since the
    last update, both relative to the goal. The second one damps the control, whose reports are old.
    """

    update_interval_ms: int = 150
    target_share: float = 0.65
    distance_gain: float = 0.1
    change_gain: float = 0.6
    # Added while the server has a free slot.
    free_slot_step: float = 0.5
    min_share: float = 0.01


@dataclass(frozen=True)
class ServerLoadModel:
    """Hold what the goal of a server depends on."""

    slots: int
    service_time_ms: float
    target_latency_ms: int
    max_in_flight: float

    def goal(self, target_share: float) -> float:
        """Return the requests in flight with which a new one takes a share of the target latency.

        Fewer than one more than the slots would leave slots unused while reports are on their way.
        """
        in_time = self.slots * target_share * self.target_latency_ms / self.service_time_ms - 1
        return max(self.slots + 1.0, min(self.max_in_flight, in_time))


class AdmissionShare:
    """Adapt the share of a node's requests that is sent to one server.

    It is 1 until more requests are in flight than the goal.
    """

    def __init__(self, settings: AdmissionSettings, rng: random.Random) -> None:
        self._settings = settings
        self._log_share = 0.0
        self._last_in_flight = 0.0
        # Each request adds the share, and one is sent for each whole credit. A random draw would
        # send runs of requests, which queue at the server.
        self._credit = rng.random()

    @property
    def share(self) -> float:
        """Return the share of the requests that is sent."""
        return math.exp(self._log_share)

    @property
    def is_limiting(self) -> bool:
        """Return whether some requests are not sent."""
        return self._log_share < 0.0

    def update(self, in_flight: float, server: ServerLoadModel) -> None:
        """Adapt the share to the requests in flight; call it once an update interval."""
        settings, goal = self._settings, server.goal(self._settings.target_share)
        before, self._last_in_flight = self._last_in_flight, in_flight
        if not self.is_limiting:
            if in_flight <= goal:
                return
            before = max(before, goal)
        step = settings.distance_gain * (goal - in_flight) / goal
        step += settings.change_gain * (before - in_flight) / goal
        if in_flight < server.slots:
            step += settings.free_slot_step
        self._log_share = min(0.0, max(math.log(settings.min_share), self._log_share + step))

    def try_admit(self, own_in_flight: int, server: ServerLoadModel, node_count: int) -> bool:
        """Return whether the next request is sent.

        While the share is limited, this node also has no more than its part of the goal in flight,
        at least one: its own requests are known at once, those of the others only later.
        """
        if not self.is_limiting:
            return True
        own_part = math.ceil(server.goal(self._settings.target_share) / max(1, node_count))
        if own_in_flight >= own_part:
            return False
        self._credit += self.share
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True
