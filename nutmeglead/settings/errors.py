"""Define the errors of reading settings and ticket files, and how they quote values."""

import json
from dataclasses import dataclass

from nutmeglead.core.errors import NutmegleadError

__all__ = ["Fault", "FileUnreadable", "SettingsFaults", "describe_count", "describe_value"]

# Longer values are cut in error messages, so that one wrong value does not fill the screen.
_MAX_QUOTED_CHARACTERS = 60


@dataclass(frozen=True)
class Fault:
    """Describe one wrong value: the path of its field, what was expected and what was given."""

    path: str
    expected: str
    got: str

    def __str__(self) -> str:
        location = self.path or "(top level)"
        return f"{location}: expected {self.expected}, got {self.got}"


@dataclass
class SettingsFaults(NutmegleadError):
    """Report all faults of a file; none of its values takes effect."""

    source: str
    faults: tuple[Fault, ...]

    def __str__(self) -> str:
        lines = "\n".join(f"  {fault}" for fault in self.faults)
        return f"{self.source}: {describe_count(len(self.faults), 'fault')}\n{lines}"


@dataclass
class FileUnreadable(NutmegleadError):
    """Report a file that cannot be opened or whose content cannot be read."""

    source: str
    reason: str

    def __str__(self) -> str:
        return f"{self.source}: expected a readable UTF-8 file, got {self.reason}"


def describe_count(count: int, noun: str) -> str:
    """Return a count with its noun, which gets an "s" unless the count is 1."""
    return f"{count} {noun}" if count == 1 else f"{count} {noun}s"


def describe_value(value: object) -> str:
    """Return the size of a list or object, or the JSON text of another value, cut if it is long."""
    if isinstance(value, dict):
        return f"an object with {describe_count(len(value), 'field')}"
    if isinstance(value, list):
        return f"a list of {len(value)}"
    text = json.dumps(value, ensure_ascii=False, default=str)
    # Half of a surrogate pair cannot be printed, so it is replaced by its escape sequence.
    text = text.encode(errors="backslashreplace").decode()
    if len(text) <= _MAX_QUOTED_CHARACTERS:
        return text
    return text[:_MAX_QUOTED_CHARACTERS] + "..."
