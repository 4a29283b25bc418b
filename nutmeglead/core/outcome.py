"""Say what is known about whether a request ran."""

from enum import Enum

__all__ = ["Outcome"]


class Outcome(Enum):
    """Tell a caller whether its request may have run."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
