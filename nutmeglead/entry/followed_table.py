"""Describe a table of the store that an entry process follows."""

from collections.abc import Callable
from typing import NamedTuple

from nutmeglead.platform.store import StoreRows

__all__ = ["FollowedTable"]


class FollowedTable(NamedTuple):
    """Name a table of the store, the functions that apply its rows, and the pause after each call.

    The further arguments of `apply` tell whether the rows are the whole table, and whether they
    were read soon after a store outage. The pause of `settle_ms` lets one call return several
    changes. `confirm` is called when such rows are known not to come from an outage.
    """

    name: str
    apply: Callable[[StoreRows, bool, bool], None]
    settle_ms: int
    confirm: Callable[[], None] = lambda: None
