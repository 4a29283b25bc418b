"""Print results and errors as text for people or as JSON for scripts."""

import dataclasses
import json
import sys
from dataclasses import dataclass
from enum import Enum
from typing import Any, TextIO

from nutmeglead.core.errors import NutmegleadError
from nutmeglead.programs.exit_codes import ExitCode, exit_code_of
from nutmeglead.settings.structs import plain_struct

__all__ = ["Output"]


@dataclass
class Output:
    """Write results to one stream and errors to another.

    With `as_json`, each result or error is one line of JSON on the first stream.
    """

    as_json: bool = False
    results: TextIO = dataclasses.field(default_factory=lambda: sys.stdout)
    errors: TextIO = dataclasses.field(default_factory=lambda: sys.stderr)

    def result(self, text: str, **values: Any) -> None:
        """Print the text of a result, or with `as_json` its values instead."""
        if self.as_json:
            self._print_json(values)
        else:
            print(text, file=self.results)

    def warning(self, text: str) -> None:
        """Print a warning to the stream of errors, even with `as_json`."""
        print(text, file=self.errors)

    def error(self, error: NutmegleadError) -> ExitCode:
        """Print an error and return its exit code; as JSON, include its type and fields."""
        if self.as_json:
            details = {f.name: getattr(error, f.name) for f in _dataclass_fields(error)}
            entry = {"type": type(error).__name__, "message": str(error)} | details
            self._print_json({"error": entry})
        else:
            print(error, file=self.errors)
        return exit_code_of(error)

    def _print_json(self, values: dict[str, Any]) -> None:
        print(json.dumps(values, default=_json_value), file=self.results)


def _dataclass_fields(value: object) -> tuple[dataclasses.Field[Any], ...]:
    return dataclasses.fields(value) if dataclasses.is_dataclass(value) else ()


def _json_value(value: Any) -> Any:
    """Return a JSON value for an object that `json` cannot write itself."""
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return dataclasses.asdict(value)
    if isinstance(value, Enum):
        return value.name.lower()
    return plain_struct(value) if hasattr(value, "thrift_spec") else str(value)
