"""Base classes of the errors, and the errors that several packages use."""

from dataclasses import dataclass

__all__ = ["CodecError", "NutmegleadError", "PlatformError", "UnknownVariantError"]


class NutmegleadError(Exception):
    """Base class of all errors of this project."""


class PlatformError(NutmegleadError):
    """Base class of the errors of calls to the platform's store and to servers."""


@dataclass
class UnknownVariantError(NutmegleadError):
    """A name was looked up in a registry that has no variant of this name."""

    registry: str
    name: str
    known: tuple[str, ...]

    def __str__(self) -> str:
        return f"{self.registry}: no variant is named {self.name!r}; known: {', '.join(self.known)}"


@dataclass
class CodecError(NutmegleadError):
    """Bytes could not be decoded as `expected`, the name of a message or a document."""

    expected: str
    reason: str

    def __str__(self) -> str:
        return f"could not decode {self.expected}: {self.reason}"
