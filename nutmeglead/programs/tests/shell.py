"""Run what the operators' pages show: the programs, probes and a look at the metrics."""

import re
import shlex

from prometheus_client import generate_latest

from nutmeglead.controller.tests.activity_rig import VICTIM, ActivityScenario
from nutmeglead.platform.memory import TableFault
from nutmeglead.programs.tests.loopback import MAINS, ServiceRun
from nutmeglead.programs.tests.rig import ROOT, Platform

__all__ = ["Shell"]

# curl -s http://ADDRESS:PORT/PATH | grep -E 'PATTERN'
_CURL = re.compile(r"curl -s http://10\.20\.1\.10:(\d+)(/\w+)(?: \| grep -E '([^']+)')?")
ADMIN_PORTS = {"8082": "nutmeglead-router", "8084": "nutmeglead-controller"}


class Shell:
    """Hold a platform, and a controller whose metrics can be read."""

    def __init__(self):
        self.platform = Platform()
        self._observed = None

    def arrange(self, state):
        """Bring the platform or the observed controller into a named state."""
        if state.startswith("metrics of "):
            self._observed = _observe(state.removeprefix("metrics of "))
        else:
            self.platform.arrange(state)

    def run(self, line):
        """Return exit code, results and errors of a command line."""
        if line.startswith("curl "):
            return 0, self._curl(line), ""
        words = shlex.split(line)
        if words[0] not in MAINS:
            return self.platform.run(line)
        run = ServiceRun(words[0])
        run.main([str(ROOT / word) if (ROOT / word).is_file() else word for word in words[1:]])
        return run.code, run.printed.replace(f"{ROOT}/", ""), ""

    def _curl(self, line):
        port, path, pattern = _CURL.fullmatch(line).groups()
        text = self._metrics() if path == "/metrics" else _probe(ADMIN_PORTS[port], path)
        lines = text.splitlines()
        return "\n".join(found for found in lines if pattern is None or re.search(pattern, found))

    def _metrics(self):
        self._observed.update()
        return generate_latest(self._observed.registry).decode()


def _probe(program, path):
    """Return what a freshly started program answers on its admin port."""
    run, found = ServiceRun(program), []
    port_name = {"nutmeglead-router": "router_admin_port"}.get(program, "controller_admin_port")

    async def visit():
        found.append(await run.fetch(getattr(run.settings.node, port_name), path))

    run.run([], visit)
    return found[0][1]


def _observe(state):
    """Return a controller with 6 servers of 256 buckets in virtual time after a fault."""
    observed = ActivityScenario()
    if state == "a lost server":
        observed.happen("a frozen server")
    elif state == "a lost failure domain":
        acting = observed.rig.acting().domain
        observed.rig.lose_domain(next(d for d in observed.rig.options.domains if d != acting))
        observed.run_ms(5000)
    else:
        assert state == "a lost server while the table is down", state
        observed.freeze(VICTIM)
        observed.table(TableFault.UNAVAILABLE)
        observed.run_ms(4000)
    return observed
