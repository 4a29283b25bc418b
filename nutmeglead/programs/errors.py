"""Define the errors of the programs themselves."""

from dataclasses import dataclass

from nutmeglead.core.errors import NutmegleadError

__all__ = ["ListenFailed"]


@dataclass
class ListenFailed(NutmegleadError):
    """Report that a service could not bind one of its ports; nothing was served."""

    reason: str

    def __str__(self) -> str:
        return f"the ports of the settings could not be bound: {self.reason}"
