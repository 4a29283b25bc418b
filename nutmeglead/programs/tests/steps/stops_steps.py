"""Steps that send a signal to the entry program at an exact moment of its run."""

import subprocess
import sys

from behave import given, then, when

from nutmeglead.programs.tests.rig import ROOT

TIMEOUT_S = 30
# The process sends itself a signal, and its event loop ends at once with a listen error.
SCRIPT = """
import os, runpy, signal, sys
def send():
    os.kill(os.getpid(), signal.{signal})
async def refuse(self):
    raise OSError('the address is in use')
def run_refused(main):
    from nutmeglead.entry.process import EntryProcess
    EntryProcess.start = refuse
    code = run(main)
    if not {is_early}:
        send()
    return code
class Finder:
    def find_spec(self, name, path, target=None):
        global run
        if name == 'asyncio' and {is_early}:
            send()
        if name == 'nutmeglead.entry.process':
            asyncio = sys.modules['asyncio']
            run, asyncio.run = asyncio.run, run_refused
sys.meta_path.insert(0, Finder())
runpy.run_module('nutmeglead.programs.entry', run_name='__main__', alter_sys=True)
"""


@given("the settings {path}")
def step_settings(context, path):
    context.settings_path = ROOT / path


@when("the entry program gets {signal:w} {moment}")
def step_signal(context, signal, moment):
    moment, _, output = moment.partition(", ")
    is_early = moment == "while it imports its modules"
    script = SCRIPT.format(signal=signal, is_early=is_early)
    command = [sys.executable, "-c", script, "--settings", str(context.settings_path)]
    if output == "with its standard output closed":
        command = ["sh", "-c", 'exec "$@" >&-', "sh", *command]
    context.completed = subprocess.run(
        command,
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
