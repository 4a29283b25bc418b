"""Start Python programs as children and read what they cost from /proc."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import threading
from collections.abc import Sequence
from pathlib import Path
from types import TracebackType

__all__ = ["Child", "environment"]

EXIT_TIMEOUT_S = 20
LINE_TIMEOUT_S = 60
ROOT = Path(__file__).resolve().parent.parent


def environment() -> dict[str, str]:
    """Return the children's environment; they use cached bytecode, as an installed program does."""
    environment = dict(os.environ, PYTHONPATH=str(ROOT), PYTHONHASHSEED="0")
    environment["PYTHONPYCACHEPREFIX"] = str(ROOT / "build" / "bytecode")
    environment.pop("PYTHONDONTWRITEBYTECODE", None)
    return environment


class Child:
    """Run `python ARGUMENTS`; the program is ended by its id when the block is left."""

    def __init__(self, arguments: Sequence[str], log: Path | None = None) -> None:
        self._log = open(log, "w") if log else None  # noqa: SIM115  # lives as long as the child
        self._process = subprocess.Popen(
            [sys.executable, *arguments],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=self._log,
            text=True,
            cwd=ROOT,
            env=environment(),
        )

    def __enter__(self) -> Child:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._process.terminate()
        try:
            self._process.wait(EXIT_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()
        for stream in (self._process.stdin, self._process.stdout, self._log):
            if stream is not None:
                stream.close()

    def read_json(self) -> dict[str, object]:
        """Return the next line of the child's output; a child that hangs is ended."""
        assert self._process.stdout is not None
        watchdog = threading.Timer(LINE_TIMEOUT_S, self._process.kill)
        watchdog.start()
        try:
            line = self._process.stdout.readline()
        finally:
            watchdog.cancel()
        if not line:
            raise RuntimeError(f"the child ended early with {self._process.poll()}")
        result: dict[str, object] = json.loads(line)
        return result

    def send_line(self, text: str) -> None:
        """Write a line to the child's input."""
        assert self._process.stdin is not None
        self._process.stdin.write(text + "\n")
        self._process.stdin.flush()

    def cpu_ns(self) -> int:
        """Return the processor time of all threads so far, in ns."""
        tasks = Path(f"/proc/{self._process.pid}/task").iterdir()
        return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks)

    def memory_kb(self) -> tuple[int, int]:
        """Return resident memory and the part that no other process shares, in KiB."""
        text = Path(f"/proc/{self._process.pid}/smaps_rollup").read_text()
        fields = {line.split(":")[0]: line.split()[1] for line in text.splitlines()[1:]}
        return int(fields["Rss"]), int(fields["Private_Clean"]) + int(fields["Private_Dirty"])
