"""Steps that send a stop signal to the entry program at an exact moment of its run."""

import subprocess
import sys

from behave import given, then, when

from nutmeglead.programs.tests.rig import ROOT

TIMEOUT_S = 30
# Each script makes the process send itself the signal at the moment, and then runs the program.
SEND = "import os, runpy, signal, sys\n" "def send(): os.kill(os.getpid(), signal.SIGTERM)\n"
RUN = "runpy.run_module('nutmeglead.programs.entry', run_name='__main__', alter_sys=True)\n"
SCRIPTS = {
    "while it imports its modules": """
class Finder:
    def find_spec(self, name, path, target=None):
        if name == 'asyncio':
            send()
sys.meta_path.insert(0, Finder())
""",
    # The program cannot listen on this address, so its event loop ends at once.
    "after its event loop has closed": """
import asyncio
run = asyncio.run
def run_and_send(main):
    code = run(main)
    send()
    return code
asyncio.run = run_and_send
from nutmeglead.entry.process import EntryProcess
async def refuse(self):
    raise OSError('the address is in use')
EntryProcess.start = refuse
""",
}


@given("the settings {path}")
def step_settings(context, path):
    context.settings_path = ROOT / path


@when("the entry program gets SIGTERM {moment}")
def step_signal(context, moment):
    context.completed = subprocess.run(
        [sys.executable, "-c", SEND + SCRIPTS[moment] + RUN, "--settings", context.settings_path],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )


@then("its exit code is {code:d} and no traceback is printed")
def step_code(context, code):
    completed = context.completed
    assert completed.returncode == code, (completed.returncode, completed.stderr)
    assert "Traceback" not in completed.stderr, completed.stderr
