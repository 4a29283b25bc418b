"""Read settings and other structs from JSON with comments."""

from json import JSONDecodeError
from pathlib import Path
from typing import Any, TypeVar

import jsonc
from result import Err, Ok, Result

from nutmeglead._generated.settings.ttypes import Settings
from nutmeglead.settings.checks import check_settings
from nutmeglead.settings.errors import Fault, FileUnreadable, SettingsFaults
from nutmeglead.settings.structs import DuplicateField, fill_struct

__all__ = ["load_settings", "load_struct", "parse_settings", "read_text"]

T = TypeVar("T")


def read_text(path: Path) -> Result[str, FileUnreadable]:
    """Return the text of a UTF-8 file, or the reason why it cannot be read."""
    try:
        return Ok(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        return Err(FileUnreadable(str(path), f"{type(error).__name__}: {error}"))


def load_struct(text: str, struct_type: type[T], source: str) -> Result[T, SettingsFaults]:
    """Return a struct filled from JSON with comments, or all faults of its fields and their types.

    `source` names the text in the error.
    """
    try:
        value = jsonc.loads(text, object_pairs_hook=_mark_duplicates)
    except JSONDecodeError as error:
        position = f"line {error.lineno} column {error.colno}"
        return Err(SettingsFaults(source, (Fault(position, "JSON with comments", error.msg),)))
    except RecursionError:
        fault = Fault("", "JSON with comments", "too many nested values")
        return Err(SettingsFaults(source, (fault,)))
    faults: list[Fault] = []
    filled = fill_struct(struct_type, value, "", faults)
    return Err(SettingsFaults(source, tuple(faults))) if faults else Ok(filled)


def parse_settings(text: str, source: str = "settings") -> Result[Settings, SettingsFaults]:
    """Return settings that pass all checks, or all faults found.

    Values are checked only if the fields and their types have no faults.
    """
    loaded = load_struct(text, Settings, source)
    if isinstance(loaded, Err):
        return loaded
    faults = check_settings(loaded.ok_value)
    return Err(SettingsFaults(source, faults)) if faults else loaded


def load_settings(path: Path) -> Result[Settings, SettingsFaults | FileUnreadable]:
    """Return the settings of a file as `parse_settings` does, or why it cannot be read."""
    text = read_text(path)
    if isinstance(text, Err):
        return text
    return parse_settings(text.ok_value, str(path))


def _mark_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Return an object in which each repeated field is marked by DuplicateField.

    Without the mark, the last of the equal names would silently win.
    """
    value: dict[str, Any] = {}
    for name, entry in pairs:
        value[name] = DuplicateField(entry) if name in value else entry
    return value
