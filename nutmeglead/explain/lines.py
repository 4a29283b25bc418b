"""Parse the log lines of entry VMs, and format them for output."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

__all__ = ["LogLine", "read_lines"]


@dataclass(frozen=True)
class LogLine:
    """One logged event: its time in seconds since the epoch, its node, name and all its fields."""

    time_s: float
    node: str
    name: str
    fields: dict[str, Any]

    def render(self) -> str:
        """Return time, node, event name and the remaining non-empty fields on one line."""
        hidden = ("time_s", "level", "logger", "message", "event", "name")
        shown = " ".join(
            f"{key}={_format_value(value)}"
            for key, value in self.fields.items()
            if key not in hidden and value not in (None, [], "")
        )
        return f"{self.time_s:14.3f} {self.node:<16} {self.name:<16} {shown}"


def read_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the logged events; skip other lines, such as truncated ones.

    A line is an event if it ends with a JSON object that has the fields `name` and `time_s`.

    The node is the last word before the JSON object, where log collectors put a time and the
    node's name; without such a prefix it is the field `node`, or empty.
    """
    for line in lines:
        json_start = line.find("{")
        if json_start < 0:
            continue
        try:
            fields = json.loads(line[json_start:])
        except ValueError:
            continue
        if not isinstance(fields, dict) or "name" not in fields or "time_s" not in fields:
            continue
        prefix = line[:json_start].split()
        node = prefix[-1] if prefix else str(fields.get("node", ""))
        yield LogLine(float(fields["time_s"]), node, str(fields["name"]), fields)


def _format_value(value: Any) -> str:
    """Return a field value as text: lists in brackets, strings with spaces in quotes."""
    if isinstance(value, list):
        return "[" + "; ".join(str(entry) for entry in value) + "]"
    return json.dumps(value) if isinstance(value, str) and " " in value else str(value)
