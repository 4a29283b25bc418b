"""Read the examples of a page and run them."""

import re
from dataclasses import dataclass, field

from nutmeglead.programs.tests.shell import Shell

__all__ = ["Example", "read_examples", "run_examples"]

_BLOCK = re.compile(
    r"(?:<!-- (?P<verb>platform|then): (?P<states>[^>]*) -->\n)?```console\n(?P<body>.*?)```", re.S
)


@dataclass
class Example:
    """Hold one command with the output that the page shows."""

    command: str
    expected: list[str] = field(default_factory=list)
    states: list[str] = field(default_factory=list)
    new_platform: bool = False


def read_examples(page):
    """Return the examples of a page in order."""
    examples = []
    for block in _BLOCK.finditer(page):
        states = block["states"].split(", ") if block["states"] else []
        for line in block["body"].splitlines():
            if line.startswith("$ "):
                examples.append(Example(line[2:], [], states, block["verb"] == "platform"))
                states = []
            else:
                examples[-1].expected.append(line)
    return examples


def run_examples(examples):
    """Yield each example with the output that it gives."""
    shell, code = Shell(), 0
    for example in examples:
        if example.states and example.new_platform:
            shell = Shell()
        for state in example.states:
            shell.arrange(state)
        if example.command == "echo $?":
            yield example, [str(int(code))]
            continue
        code, results, errors = shell.run(example.command)
        yield example, (results + errors).splitlines()
