"""Estimate the load and the speed of one server from what it states and what nodes report."""

from __future__ import annotations

from collections.abc import Callable

from nutmeglead.forwarding.model import StatedLoad
from nutmeglead.scheduling.crowding import is_crowded

__all__ = ["ServerLoad", "TypicalTime"]

# Up to this age the stated figures are used as they are: other nodes' reports are older.
FRESH_STATED_MS = 150
# From this age on they are not used. Servers finish requests in 200 to 400 ms and are slow for
# 400 ms at a time, so an older figure says less than other nodes' reports.
USELESS_STATED_MS = 600
# Weight of the newest stated duration in the usual one of the server.
USUAL_DURATION_WEIGHT = 0.1
# Weight of the newest answer in the service time of one server, and in the typical one of its
# service.
SERVER_SAMPLE_WEIGHT = 0.15
# Where many nodes share a server, its first answers to a node weigh more: 1/2, 1/3 and so on.
FIRST_SAMPLES = 6
SERVICE_SAMPLE_WEIGHT = 0.02


class TypicalTime:
    """Average the service times of all servers of a service, at the usual speed of each.

    A server that has not answered yet is expected to take this time where many nodes share it, and
    the initial one elsewhere: a node that is one of few soon knows each server's own time.
    """

    def __init__(self, initial_ms: float, node_count: Callable[[], int] = lambda: 1) -> None:
        self.initial_ms = initial_ms
        self.time_ms = initial_ms
        self._node_count = node_count
        self._sample_count = 0

    def record(self, sample_ms: float) -> None:
        """Add the service time of one answer; the first one replaces the initial time."""
        self._sample_count += 1
        weight = max(SERVICE_SAMPLE_WEIGHT, 1 / self._sample_count)
        self.time_ms += weight * (sample_ms - self.time_ms)

    def is_crowded(self, slots: int) -> bool:
        """Return whether many nodes share a server of the service with so many slots."""
        return is_crowded(self._node_count(), slots)


class ServerLoad:
    """Hold what a server has stated, and the service times that this node has measured.

    Stated figures include this node's own requests at the time, which are taken out: what remains
    are the requests of the other nodes. `usual_factor` is the average of the stated durations.
    """

    def __init__(self, typical: TypicalTime, slots: int) -> None:
        self._typical = typical
        self._slots = slots
        self._base_time_ms: float | None = None
        self._sample_count = 0
        self._stated: StatedLoad | None = None
        self._stated_ms = 0
        self._stated_elsewhere = 0
        self.usual_factor = 1.0

    @property
    def service_time_ms(self) -> float:
        """Return the time that a request usually takes at the server without queueing."""
        base_ms = self._start_time_ms() if self._base_time_ms is None else self._base_time_ms
        return base_ms * self.usual_factor

    @service_time_ms.setter
    def service_time_ms(self, time_ms: float) -> None:
        self._base_time_ms = time_ms / self.usual_factor

    def _start_time_ms(self) -> float:
        """Return the time that is expected of the server before its first answer."""
        typical = self._typical
        return typical.time_ms if typical.is_crowded(self._slots) else typical.initial_ms

    def record_stated(self, stated: StatedLoad, own_in_flight: int, now_ms: int) -> None:
        """Replace the stated figures; `own_in_flight` are the own requests that they include."""
        factor = stated.duration_percent / 100
        is_first = self._stated is None
        self.usual_factor += (factor - self.usual_factor) * (
            1.0 if is_first else USUAL_DURATION_WEIGHT
        )
        self._stated, self._stated_ms = stated, now_ms
        self._stated_elsewhere = max(0, stated.running + stated.waiting - own_in_flight)

    def stated_weight(self, now_ms: int) -> float:
        """Return how much the stated figures count against the other sources, from 1 down to 0."""
        if self._stated is None:
            return 0.0
        age_ms = now_ms - self._stated_ms
        if age_ms <= FRESH_STATED_MS:
            return 1.0
        return max(0.0, (USELESS_STATED_MS - age_ms) / (USELESS_STATED_MS - FRESH_STATED_MS))

    def in_flight(self, own: int, reported_elsewhere: int, now_ms: int) -> float:
        """Return the estimated requests at the server, from this node and the others."""
        weight = self.stated_weight(now_ms)
        if not weight:
            return own + reported_elsewhere
        stated, reported = self._stated_elsewhere, reported_elsewhere
        return own + weight * stated + (1 - weight) * reported

    def current_factor(self, now_ms: int) -> float:
        """Return how long work takes now, relative to the time at factor 1."""
        weight = self.stated_weight(now_ms)
        if not weight or self._stated is None:
            return self.usual_factor
        stated_factor = self._stated.duration_percent / 100
        return weight * stated_factor + (1 - weight) * self.usual_factor

    def current_time_ms(self, now_ms: int) -> float:
        """Return the time that a request takes now without queueing."""
        return self.service_time_ms / self.usual_factor * self.current_factor(now_ms)

    def record_answer(self, sample_ms: float, now_ms: int) -> None:
        """Add the service time of one answer, at the speed that the server states now."""
        base_ms = sample_ms / self.current_factor(now_ms)
        if self._base_time_ms is None:
            self._base_time_ms = self._start_time_ms()
        self._sample_count += 1
        weight = SERVER_SAMPLE_WEIGHT
        if self._sample_count < FIRST_SAMPLES and self._typical.is_crowded(self._slots):
            weight = 1 / (self._sample_count + 1)
        self._base_time_ms += weight * (base_ms - self._base_time_ms)
        self._typical.record(base_ms)
