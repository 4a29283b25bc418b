"""Say what is known about whether a request ran."""

from enum import Enum

__all__ = ["OUTCOME_HEADER", "Outcome"]

# Tells a caller whether the request may have run.
OUTCOME_HEADER = b"nutmeglead-outcome"


class Outcome(Enum):
    """Tell a caller whether its request may have run."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
