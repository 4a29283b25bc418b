"""Collect the policy registries that settings choose from."""

from collections.abc import Mapping
from typing import Any

from nutmeglead.core.registry import Registry
from nutmeglead.dissemination.fanout import FANOUTS
from nutmeglead.placement.policies import POLICIES
from nutmeglead.routing.admission import ADMISSION
from nutmeglead.routing.concurrency import CONCURRENCY
from nutmeglead.routing.ejection import EJECTION
from nutmeglead.routing.retries import RETRIES
from nutmeglead.routing.selection import SELECTION

__all__ = ["known_policies"]


def known_policies() -> Mapping[str, Registry[Any]]:
    """Return the registry of each kind of policy."""
    return {
        "admission": ADMISSION,
        "concurrency": CONCURRENCY,
        "ejection": EJECTION,
        "placement": POLICIES,
        "push": FANOUTS,
        "retries": RETRIES,
        "selection": SELECTION,
    }
