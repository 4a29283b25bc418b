"""Steps that change the text of example settings and load it."""

import copy
import fnmatch
import json
import re
from pathlib import Path

import jsonc
from behave import given, then, when
from hypothesis import given as generate
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from result import Err, Ok

from nutmeglead.settings.errors import FileUnreadable, SettingsFaults
from nutmeglead.settings.loader import load_settings, parse_settings

EXAMPLE = Path(__file__).parents[4] / "examples" / "brunner" / "halle-a.jsonc"


class SettingsScenario:
    def __init__(self, text):
        self.text = text

    def change(self, path, value, remove=False):
        tree = jsonc.loads(self.text)
        keys = [int(s) if s.isdigit() else s for s in re.findall(r"\w+", path)]
        target = tree
        for key in keys[:-1]:
            target = target[key]
        if remove:
            del target[keys[-1]]
        else:
            target[keys[-1]] = value
        self.text = json.dumps(tree)

    def load(self):
        return parse_settings(self.text)

    def faults(self):
        loaded = self.load()
        assert isinstance(loaded, Err) and isinstance(loaded.err_value, SettingsFaults), loaded
        return loaded.err_value.faults

    def faults_matching(self, pattern):
        escaped_pattern = pattern.replace("[", "[[]")
        return [
            fault for fault in self.faults() if fnmatch.fnmatchcase(str(fault), escaped_pattern)
        ]


@given("the example settings of brunner")
def step_example(context):
    context.settings = SettingsScenario(EXAMPLE.read_text())


@given("the settings text {text}")
def step_text(context, text):
    context.settings = SettingsScenario(text)


@when("{path} is set to {value}")
def step_set(context, path, value):
    context.settings.change(path, json.loads(value))


@when("{path} is removed")
def step_remove(context, path):
    context.settings.change(path, None, remove=True)


@then('the settings are refused with only the fault "{pattern}"')
def step_only_fault(context, pattern):
    faults = context.settings.faults_matching(pattern)
    assert len(faults) == len(context.settings.faults()) == 1, context.settings.faults()


@then('one of the faults is "{pattern}"')
def step_one_of_the_faults(context, pattern):
    assert len(context.settings.faults_matching(pattern)) == 1, context.settings.faults()


@then('the settings are refused with the paths "{paths}"')
def step_paths(context, paths):
    found = sorted(fault.path for fault in context.settings.faults())
    assert found == paths.split(", "), found


@then("the settings are accepted")
def step_accepted(context):
    loaded = context.settings.load()
    assert isinstance(loaded, Ok), loaded


@given("settings that are loaded from a path that does not exist")
def step_absent_file(context):
    context.loaded = load_settings(EXAMPLE.with_name("absent.jsonc"))


@then("loading gives FileUnreadable")
def step_unreadable(context):
    assert isinstance(context.loaded.err_value, FileUnreadable), context.loaded


@then(
    "the loaded leave_ms is {leave_ms:d}, retry_ratio is {retry_ratio:g}"
    ' and the first region is "{region}"'
)
def step_defaults(context, leave_ms, retry_ratio, region):
    loaded = context.settings.load().unwrap()
    assert loaded.bounds.leave_ms == leave_ms
    assert loaded.bounds.retry_ratio == retry_ratio
    assert loaded.failure_domains[0].region == region


def value_paths(tree, path=""):
    items = tree.items() if isinstance(tree, dict) else enumerate(tree)
    for key, value in items:
        value_path = f"{path}[{key}]" if isinstance(key, int) else f"{path}.{key}".strip(".")
        yield value_path
        if isinstance(value, dict | list):
            yield from value_paths(value, value_path)


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda children: st.lists(children, max_size=3)
    | st.dictionaries(st.text(max_size=8), children),
    max_leaves=5,
)


@then("each of {count:d} generated changes gives settings or typed faults")
def step_generated(context, count):
    paths = sorted(value_paths(jsonc.loads(context.settings.text)))

    @hypothesis_settings(max_examples=count, derandomize=True, database=None, deadline=None)
    @generate(st.sampled_from(paths), JSON_VALUES)
    def check(path, value):
        scenario = copy.copy(context.settings)
        scenario.change(path, value)
        loaded = scenario.load()
        if isinstance(loaded, Err):
            assert loaded.err_value.faults
            assert all(str(fault) for fault in loaded.err_value.faults)

    check()
