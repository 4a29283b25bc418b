"""Define the errors of settings and ticket files."""

import json
from dataclasses import dataclass

from nutmeglead.core.errors import NutmegleadError

__all__ = ["Fault", "FileUnreadable", "SettingsFaults", "describe_count", "describe_value"]

# A fault quotes at most this much of a value, so that one wrong value does not fill the screen.
_MAX_QUOTED_CHARACTERS = 60


@dataclass(frozen=True)
class Fault:
    """State where a value is wrong, what was expected and what was given."""

    path: str
    expected: str
    got: str

    def __str__(self) -> str:
        place = self.path or "(top level)"
        return f"{place}: expected {self.expected}, got {self.got}"


@dataclass
class SettingsFaults(NutmegleadError):
    """Report all faults of a file; nothing of it takes effect."""

    source: str
    faults: tuple[Fault, ...]

    def __str__(self) -> str:
        lines = "\n".join(f"  {fault}" for fault in self.faults)
        return f"{self.source}: {describe_count(len(self.faults), 'fault')}\n{lines}"


@dataclass
class FileUnreadable(NutmegleadError):
    """Report a file that cannot be read as UTF-8 text."""

    source: str
    reason: str

    def __str__(self) -> str:
        return f"{self.source}: expected a readable UTF-8 file, got {self.reason}"


def describe_count(count: int, noun: str) -> str:
    """Return a number with its noun in the singular or plural."""
    return f"{count} {noun}" if count == 1 else f"{count} {noun}s"


def describe_value(value: object) -> str:
    """Return a value as it stands in JSON, cut to a readable length."""
    if isinstance(value, dict):
        return f"an object with {describe_count(len(value), 'field')}"
    if isinstance(value, list):
        return f"a list of {len(value)}"
    text = json.dumps(value, ensure_ascii=False, default=str)
    # Half of a surrogate pair cannot be printed; it is shown as its escape.
    text = text.encode(errors="backslashreplace").decode()
    if len(text) <= _MAX_QUOTED_CHARACTERS:
        return text
    return text[:_MAX_QUOTED_CHARACTERS] + "..."
