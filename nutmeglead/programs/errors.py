"""Define the errors that the programs report on their own behalf."""

from dataclasses import dataclass

from nutmeglead.core.errors import NutmegleadError

__all__ = ["ListenFailed"]


@dataclass
class ListenFailed(NutmegleadError):
    """Report that a service could not bind one of its ports; the program ends."""

    reason: str

    def __str__(self) -> str:
        return f"a port of the settings or of the ticket could not be bound: {self.reason}"
