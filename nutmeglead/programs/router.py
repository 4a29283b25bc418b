"""Route callers' requests to the owners of their keys: the program nutmeglead-router."""

import random
import sys

from nutmeglead._generated.settings.ttypes import Settings
from nutmeglead.core.clock import SystemClock
from nutmeglead.programs.common import run_service
from nutmeglead.programs.policies import known_policies
from nutmeglead.routing.process import RouterProcess

__all__ = ["main"]

PROGRAM = "nutmeglead-router"
DESCRIPTION = "Route requests to the backend servers that own their keys."


def main(arguments: list[str] | None = None) -> int:
    """Run the program until SIGTERM or SIGINT and return its exit code."""
    return run_service(PROGRAM, DESCRIPTION, known_policies(), _build, arguments)


def _build(settings: Settings) -> RouterProcess:
    return RouterProcess(settings, SystemClock(), random.Random())


if __name__ == "__main__":
    sys.exit(main())
