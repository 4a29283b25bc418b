"""Define the roots of the error tree."""

from dataclasses import dataclass

__all__ = ["CodecError", "NutmegleadError", "PlatformError", "UnknownVariantError"]


class NutmegleadError(Exception):
    """Be the root of all errors of this project."""


class PlatformError(NutmegleadError):
    """Be the root of the errors of the platform's services."""


@dataclass
class UnknownVariantError(NutmegleadError):
    """Report a variant name that no registry entry has."""

    registry: str
    name: str
    known: tuple[str, ...]

    def __str__(self) -> str:
        return f"{self.registry}: no variant {self.name!r}; known are {', '.join(self.known)}"


@dataclass
class CodecError(NutmegleadError):
    """Report bytes that do not decode to the expected message."""

    expected: str
    reason: str

    def __str__(self) -> str:
        return f"expected {self.expected}: {self.reason}"
