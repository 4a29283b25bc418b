"""Place keys, renew leases and spread the unit map: the program nutmeglead-controller."""

import random
import sys

from nutmeglead._generated.settings.ttypes import Settings
from nutmeglead.controller.service import ControllerService
from nutmeglead.core.clock import SystemClock
from nutmeglead.programs.common import run_service
from nutmeglead.programs.policies import known_policies

__all__ = ["main"]

PROGRAM = "nutmeglead-controller"
DESCRIPTION = "Carry out tickets, renew the backend servers' leases and spread the unit map."


def main(arguments: list[str] | None = None) -> int:
    """Run the program until SIGTERM or SIGINT and return its exit code."""
    return run_service(PROGRAM, DESCRIPTION, known_policies(), _build, arguments)


def _build(settings: Settings) -> ControllerService:
    return ControllerService(settings, SystemClock(), random.Random())


if __name__ == "__main__":
    sys.exit(main())
