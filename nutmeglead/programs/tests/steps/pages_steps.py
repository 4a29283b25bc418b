"""Steps for the pages that describe the programs."""

import logging
import re

from behave import given, then

from nutmeglead._generated.settings.ttypes import NodeSettings
from nutmeglead.core.events import Event
from nutmeglead.platform import errors as platform_errors
from nutmeglead.programs.exit_codes import ExitCode, exit_code_of
from nutmeglead.programs.tests.console import read_examples, run_examples
from nutmeglead.programs.tests.rig import ROOT
from nutmeglead.programs.tests.settings_reference import rows
from nutmeglead.settings import errors as settings_errors
from nutmeglead.tickets import errors as ticket_errors

FRAGMENT = r"[a-z0-9]+(-[a-z0-9]+)*\.(feature|fix|removal|security|internal)\.md"
MAX_FRAGMENT_CHARACTERS = 400


class PageScenario:
    def __init__(self, path):
        self.text = (ROOT / path).read_text()

    def rows(self):
        """Return the cells of the page's first table without its head."""
        lines = [line for line in self.text.splitlines() if line.startswith("|")]
        return [[cell.strip() for cell in line.strip("|").split("|")] for line in lines[2:]]

    def section(self, title):
        """Return the part of the page under a heading of the second level."""
        return PageScenario.of_text(self.text.split(f"\n## {title}\n")[1].split("\n## ")[0])

    @classmethod
    def of_text(cls, text):
        page = cls.__new__(cls)
        page.text = text
        return page


@given("the page {path}")
def step_page(context, path):
    context.page = PageScenario(path)


@then("its {count:d} examples give what the page shows")
def step_examples(context, count):
    examples = read_examples(context.page.text)
    assert len(examples) == count, len(examples)
    for example, found in run_examples(examples):
        assert found == example.expected, (example.command, found)


@then("its table lists every ExitCode with its number and name")
def step_exit_codes(context):
    found = [(int(row[0]), row[1]) for row in context.page.rows()]
    assert found == [(int(code), code.name) for code in ExitCode], found
    assert all(all(row) for row in context.page.rows())


@then("its table lists every Event with number, name, level and meaning")
def step_events(context):
    found = [tuple(row[:4]) for row in context.page.rows()]
    expected = [(str(e.number), e.name, logging.getLevelName(e.level), e.meaning) for e in Event]
    assert found == expected, set(found) ^ set(expected)
    assert all(row[4] for row in context.page.rows())


@then("every event number occurs once")
def step_numbers(context):
    numbers = [event.number for event in Event]
    # Two members with one value would be aliases, which iteration leaves out.
    assert len(numbers) == len(set(numbers)) == len(Event.__members__)


@then("no error class of these packages ends with DEFECT")
def step_codes(context):
    roots = {"TicketError"}
    for module in (ticket_errors, settings_errors, platform_errors):
        for name in module.__all__:
            error_type = getattr(module, name)
            if name in roots or not issubclass_of_error(error_type):
                continue
            error = error_type.__new__(error_type)
            assert exit_code_of(error) != ExitCode.DEFECT, name


def issubclass_of_error(candidate):
    return isinstance(candidate, type) and issubclass(candidate, Exception)


@then("every fragment in docs/changes has a permitted name and length")
def step_fragments(context):
    fragments = [path for path in (ROOT / "docs/changes").iterdir() if path.name != "README.md"]
    assert fragments
    for path in fragments:
        assert re.fullmatch(FRAGMENT, path.name), path.name
        assert 1 <= len(path.read_text().strip()) <= MAX_FRAGMENT_CHARACTERS, path.name


@then("each term has one row with three filled columns")
def step_terms(context):
    rows = context.page.rows()
    terms = [row[0] for row in rows]
    assert len(terms) == len(set(terms))
    assert all(len(row) == 3 and all(row) for row in rows)


@then("the terms {terms} are among them")
def step_wanted(context, terms):
    known = {term for row in context.page.rows() for term in row[0].split(", ")}
    wanted = set(re.split(r", | and ", terms))
    assert wanted <= known, wanted - known


@then("its table lists every setting with path, default and permitted range")
def step_settings(context):
    found = [tuple(row[:3]) for row in context.page.rows()]
    assert found == list(rows()), set(found) ^ set(rows())
    assert all(row[3] for row in context.page.rows())


@then('its table "{title}" lists every port of the settings with its default')
def step_ports(context, title):
    rows = context.page.section(title).rows()
    specs = [spec for spec in NodeSettings.thrift_spec if spec and spec[2].endswith("_port")]
    assert {(row[0], row[1]) for row in rows} == {(spec[2], str(spec[4])) for spec in specs}
    assert all(all(row) for row in rows)


@then("every relative link of README.md and of the operators' pages names a file")
def step_links(context):
    pages = [
        ROOT / "README.md",
        ROOT / "docs/OPERATIONS.md",
        *sorted((ROOT / "docs/operators").glob("*.md")),
    ]
    links = [
        (page, link) for page in pages for link in re.findall(r"\]\(([^)#:]+)\)", page.read_text())
    ]
    assert len(links) > 10
    broken = [(page.name, link) for page, link in links if not (page.parent / link).is_file()]
    assert not broken, broken
