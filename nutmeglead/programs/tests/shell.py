"""Run the commands that the operators' pages show."""

import shlex

from nutmeglead.programs.tests.loopback import MAINS, ServiceRun
from nutmeglead.programs.tests.rig import ROOT, Platform

__all__ = ["Shell"]


class Shell:
    """Hold a platform and run command lines against it."""

    def __init__(self):
        self.platform = Platform()

    def arrange(self, state):
        """Bring the platform into a named state."""
        self.platform.arrange(state)

    def run(self, line):
        """Return exit code, results and errors of a command line."""
        words = shlex.split(line)
        if words[0] not in MAINS:
            return self.platform.run(line)
        run = ServiceRun(words[0])
        run.main([str(ROOT / word) if (ROOT / word).is_file() else word for word in words[1:]])
        return run.code, run.printed.replace(f"{ROOT}/", ""), ""
