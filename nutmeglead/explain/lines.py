"""Read log lines of entry VMs from files."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

__all__ = ["LogLine", "read_lines"]


@dataclass(frozen=True)
class LogLine:
    """Hold one logged event; `node` is what stands before the JSON object, or empty."""

    time_s: float
    node: str
    name: str
    fields: dict[str, Any]

    def render(self) -> str:
        """Return the event and its fields on one line."""
        hidden = ("time_s", "level", "logger", "message", "event", "name")
        shown = " ".join(
            f"{key}={_rendered(value)}"
            for key, value in self.fields.items()
            if key not in hidden and value not in (None, [], "")
        )
        return f"{self.time_s:14.3f} {self.node:<16} {self.name:<16} {shown}"


def read_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the events among some lines; other lines are passed over.

    A line may begin with a time and the node's name, as log collectors write them.
    """
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(line[start:])
        except ValueError:
            continue
        if not isinstance(fields, dict) or "name" not in fields or "time_s" not in fields:
            continue
        prefix = line[:start].split()
        node = prefix[-1] if prefix else str(fields.get("node", ""))
        yield LogLine(float(fields["time_s"]), node, str(fields["name"]), fields)


def _rendered(value: Any) -> str:
    if isinstance(value, list):
        return "[" + "; ".join(str(entry) for entry in value) + "]"
    return json.dumps(value) if isinstance(value, str) and " " in value else str(value)
