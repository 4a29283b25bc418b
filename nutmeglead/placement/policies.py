"""Turn the weights of the settings into limits for rebalancing."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeAlias

from nutmeglead._generated.settings.ttypes import PlacementSettings
from nutmeglead.core.registry import Registry

__all__ = ["POLICIES", "Limits", "Policy", "limits_for"]


@dataclass(frozen=True, slots=True)
class Limits:
    """Bound what rebalancing tolerates; levels are multiples of the mean load per capacity.

    A server above `overload_trigger` is relieved until it is below `overload_settle`. The gap is
    the hysteresis that keeps a load near the trigger from moving units in every round. A server
    below `underload_trigger` is filled up to `underload_settle`.
    """

    overload_trigger: float
    overload_settle: float
    underload_trigger: float
    underload_settle: float
    # A key is pinned apart from this part of a mean server's load, and its pin is removed below
    # the lower part.
    pin_share: float
    unpin_share: float
    moves_per_round: int


Policy: TypeAlias = Callable[[PlacementSettings], Limits]

POLICIES: Registry[Policy] = Registry("placement policy")

# `max_imbalance` must hold while the load drifts until the next round, so `balanced` acts when
# this part of the allowed excess is reached.
BALANCED_TRIGGER_PART = 0.8
# `steady` lets the imbalance grow to this multiple of the allowed excess before anything moves.
STEADY_TRIGGER_PART = 3.0
# Relieved servers end at this part of the trigger's excess.
SETTLE_PART = 0.5
# `steady` spreads its moves over this many times more rounds.
STEADY_MOVES_DIVISOR = 4
PIN_SHARE = 0.01
UNPIN_PART = 0.3


def limits_for(settings: PlacementSettings) -> Limits:
    """Return the limits of the policy that the settings name, or raise UnknownVariantError."""
    return POLICIES.get(settings.policy)(settings)


@POLICIES.register("balanced")
def _balanced(settings: PlacementSettings) -> Limits:
    """Weigh imbalance first: never tolerate more than `max_imbalance`."""
    part = min(1.0, BALANCED_TRIGGER_PART * _reluctance(settings))
    return _limits(settings, part, settings.max_moves_per_round)


@POLICIES.register("steady")
def _steady(settings: PlacementSettings) -> Limits:
    """Weigh unavailable time first: move less, and only beyond a larger imbalance."""
    part = max(1.0, STEADY_TRIGGER_PART * _reluctance(settings))
    return _limits(settings, part, max(1, settings.max_moves_per_round // STEADY_MOVES_DIVISOR))


def _reluctance(settings: PlacementSettings) -> float:
    """Return the weight of moving over the weight of imbalance; 1.0 for equal weights."""
    cost = (settings.churn_weight + settings.unavailable_weight) / 2.0
    if settings.imbalance_weight <= 0.0:
        return 10.0
    return min(10.0, max(0.1, cost / settings.imbalance_weight))


def _limits(settings: PlacementSettings, part: float, moves: int) -> Limits:
    excess = max(0.01, settings.max_imbalance - 1.0) * part
    trigger = 1.0 + excess
    settle = 1.0 + excess * SETTLE_PART
    # An underloaded server wastes capacity but slows no request, so its limits are twice as far
    # from the mean.
    return Limits(
        overload_trigger=trigger,
        overload_settle=settle,
        underload_trigger=trigger**-2,
        underload_settle=settle**-2,
        pin_share=PIN_SHARE,
        unpin_share=PIN_SHARE * UNPIN_PART,
        moves_per_round=moves,
    )
