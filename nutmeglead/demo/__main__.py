"""Run the demo with the settings of examples/brunner; the last line is one JSON object."""

import asyncio
import sys
from pathlib import Path

from result import Err

from nutmeglead.core.events import configure_logging
from nutmeglead.demo.report import broken_promises, summary_line
from nutmeglead.demo.scenario import run_demo
from nutmeglead.programs.policies import known_policies
from nutmeglead.settings.loader import load_settings

EXAMPLE = Path(__file__).resolve().parents[2] / "examples" / "brunner" / "halle-a.jsonc"


def main() -> int:
    """Return 0 if every promise was kept."""
    configure_logging("ERROR", "text")
    loaded = load_settings(EXAMPLE, known_policies())
    if isinstance(loaded, Err):
        print(loaded.err_value)
        return 2
    counts = asyncio.run(run_demo(loaded.ok_value))
    broken = broken_promises(counts)
    for promise in broken:
        print(f"broken: {promise}")
    print(summary_line(counts))
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
