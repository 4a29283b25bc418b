"""Count the decisions under load of one service, for its metrics."""

from dataclasses import dataclass

__all__ = ["LoadCounts"]


@dataclass
class LoadCounts:
    """Count tokens used, and Retry-After times with and without a place in the node's share."""

    tokens_used: int = 0
    promised_returns: int = 0
    unplaced_returns: int = 0
