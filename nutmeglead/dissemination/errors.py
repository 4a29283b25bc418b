"""Define the errors of page deltas."""

from dataclasses import dataclass

from nutmeglead.core.errors import NutmegleadError

__all__ = ["DeltaCorrupt", "DeltaError", "DeltaGap", "DeltaMalformed", "PageMalformed"]


class DeltaError(NutmegleadError):
    """Be the root of the reasons why a delta does not apply."""


@dataclass
class DeltaGap(DeltaError):
    """Report a delta whose base version is not the known one."""

    known_version: int
    from_version: int
    to_version: int

    def __str__(self) -> str:
        return (
            f"version {self.known_version} is known, "
            f"the delta leads from {self.from_version} to {self.to_version}"
        )


@dataclass
class DeltaMalformed(DeltaError):
    """Report a delta whose content is not valid by itself."""

    reason: str

    def __str__(self) -> str:
        return f"malformed delta: {self.reason}"


@dataclass
class DeltaCorrupt(DeltaError):
    """Report a delta whose result has another digest than the sender's page."""

    to_version: int
    reason: str

    def __str__(self) -> str:
        return f"the delta does not lead to version {self.to_version}: {self.reason}"


@dataclass
class PageMalformed(NutmegleadError):
    """Report a page whose columns contradict each other."""

    reason: str

    def __str__(self) -> str:
        return f"malformed page: {self.reason}"
