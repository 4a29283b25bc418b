"""Steps for the program that explains a request or a key from log files."""

import contextlib
import io
import json
import tempfile
from pathlib import Path

from behave import given, then, when

from nutmeglead.programs import explain


class ExplainScenario:
    def __init__(self):
        self.lines = []
        self.output = ""
        self.exit_code = None

    def add_event(self, time_s, node, name, fields):
        line = json.dumps({"time_s": time_s, "name": name, **fields})
        self.lines.append(f"  {time_s} {node} {line}")

    def run(self, *arguments):
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "nodes.log"
            path.write_text("\n".join(self.lines))
            output, errors = io.StringIO(), io.StringIO()
            with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
                self.exit_code = explain.main(["--logs", str(path), *arguments])
        self.output, self.errors = output.getvalue(), errors.getvalue()


@given("the logs of two nodes")
def step_logs(context):
    context.explain = ExplainScenario()
    for row in context.table:
        fields = json.loads(row["fields"])
        context.explain.add_event(float(row["time"]), row["node"], row["event"], fields)


@given("a truncated line and two lines of other programs")
def step_lines_without_event(context):
    context.explain.lines += ['  2.0 a {"time_s": 2.0, "na', "  2.0 a started", "  2 a [1]"]


@when("the request {request_id} is explained")
def step_request(context, request_id):
    context.explain.run("--request", request_id)


@when("the key {key} is explained")
def step_key(context, key):
    context.explain.run("--key", key)


@then("the explanation lists the events {names}")
def step_explanation(context, names):
    listed_names = [line.split()[2] for line in context.explain.output.splitlines()]
    assert listed_names == names.split(", "), context.explain.output
    assert context.explain.exit_code == 0


@then("the program reports that no line was found and exits with 1")
def step_missing(context):
    assert context.explain.exit_code == 1 and "no line" in context.explain.errors
