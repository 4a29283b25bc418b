"""What is known about whether a server has executed a failed request."""

from enum import Enum

__all__ = ["OUTCOME_HEADER", "Outcome"]

# Header of an error answer; its value is that of an `Outcome`.
OUTCOME_HEADER = b"nutmeglead-outcome"


class Outcome(Enum):
    """Whether a server may have executed a failed request: not at all, or possibly."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
