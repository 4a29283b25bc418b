"""Decide whether a failed request is sent again, within a budget and the caller's deadline."""

import random
from dataclasses import dataclass
from typing import Protocol

from nutmeglead._generated.settings.ttypes import RetrySettings
from nutmeglead.core.outcome import Outcome
from nutmeglead.core.registry import Registry
from nutmeglead.routing.errors import RequestError, ServerRefused, is_server_fault

__all__ = ["RETRIES", "BudgetedRetries", "NoRetries", "RetryBudget", "RetryPolicy", "RetryRequest"]

# Enough for a burst of failures when one server goes away; more would let an idle hour pay for a
# storm of retries.
BUDGET_CAPACITY = 10.0


class RetryBudget:
    """Earn a part of a token per request and spend one token per retry or hedge.

    The bucket starts empty, so retries never exceed `ratio` of the requests seen so far.
    """

    def __init__(self, ratio: float) -> None:
        self._ratio = ratio
        self._tokens = 0.0

    def earn(self) -> None:
        """Count one request from a caller."""
        self._tokens = min(BUDGET_CAPACITY, self._tokens + self._ratio)

    def spend(self) -> bool:
        """Take one token if there is one."""
        # The tolerance keeps ten additions of 0.1 worth one token.
        if self._tokens < 1 - 1e-9:
            return False
        self._tokens = max(0.0, self._tokens - 1)
        return True


@dataclass(frozen=True)
class RetryRequest:
    """Describe a failed attempt; `attempts` counts those made so far."""

    error: RequestError
    attempts: int
    idempotent: bool
    can_replay: bool
    deadline_ms: int


class RetryPolicy(Protocol):
    """Decide on retries and hedges of one service."""

    def count_request(self) -> None:
        """Count one request from a caller."""
        ...

    def retry_at(self, request: RetryRequest, now_ms: int) -> int | None:
        """Return when to send again, or None; a time returned has been paid for."""
        ...

    def hedge_delay_ms(self, idempotent: bool) -> int | None:
        """Return how long to wait for an answer before a hedge, or None for no hedge."""
        ...

    def take_hedge(self) -> bool:
        """Pay for one hedge."""
        ...


RETRIES: Registry[type] = Registry("retries")


@RETRIES.register("budgeted")
class BudgetedRetries:
    """Retry with full jitter while the budget and the deadline allow."""

    def __init__(self, settings: RetrySettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self._budget = RetryBudget(settings.budget_ratio)

    def count_request(self) -> None:
        """Count one request from a caller."""
        self._budget.earn()

    def retry_at(self, request: RetryRequest, now_ms: int) -> int | None:
        """Return when to send again, or None."""
        if not self._is_allowed(request):
            return None
        when_ms = now_ms + self._backoff_ms(request.attempts)
        if when_ms >= request.deadline_ms or not self._budget.spend():
            return None
        return when_ms

    def _is_allowed(self, request: RetryRequest) -> bool:
        if request.attempts >= self._settings.max_attempts or not request.can_replay:
            return False
        if not (is_server_fault(request.error) or isinstance(request.error, ServerRefused)):
            return False
        # A second run of an order or a payment charges the customer twice.
        return request.idempotent or request.error.outcome is Outcome.NOT_RUN

    def _backoff_ms(self, attempts: int) -> int:
        """Return full jitter: uniform between 0 and the capped exponential step."""
        step_ms = self._settings.backoff_base_ms * 2 ** (attempts - 1)
        return round(self._rng.uniform(0, min(step_ms, self._settings.backoff_max_ms)))

    def hedge_delay_ms(self, idempotent: bool) -> int | None:
        """Return how long to wait for an answer before a hedge, or None for no hedge."""
        if not idempotent or self._settings.hedge_after_ms <= 0:
            return None
        return int(self._settings.hedge_after_ms)

    def take_hedge(self) -> bool:
        """Pay for one hedge."""
        return self._budget.spend()


@RETRIES.register("none")
class NoRetries:
    """Never send a request twice; the naive baseline."""

    def __init__(self, settings: RetrySettings, rng: random.Random) -> None:
        pass

    def count_request(self) -> None:
        """Count nothing."""

    def retry_at(self, request: RetryRequest, now_ms: int) -> int | None:
        """Return None."""
        return None

    def hedge_delay_ms(self, idempotent: bool) -> int | None:
        """Return None."""
        return None

    def take_hedge(self) -> bool:
        """Return False."""
        return False
