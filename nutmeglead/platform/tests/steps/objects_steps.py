"""Steps for the contract of the ObjectStore port; every adapter runs the same scenarios."""

from behave import given, then, when
from result import Err

from nutmeglead.platform.tests.adapters import Services, use_adapter, use_stranger

BODY = b"\x00body\xff"
NAME = "audit/1"
OPERATIONS = {
    "get": lambda store: store.get(NAME),
    "put": lambda store: store.put(NAME, BODY),
    "list": lambda store: store.list_names("audit/"),
}


class ObjectScenario:
    def __init__(self, adapter=None, stranger=None):
        self.adapter = adapter
        self.stranger = stranger
        self.services = Services.empty()
        self.operation = None
        self.answer = None

    def run(self, operation):
        self.operation, use = operation, OPERATIONS[operation]
        if self.stranger is not None:
            self.answer = use_stranger(self.stranger, "objects", use)
        else:
            self.answer = use_adapter(self.adapter, "objects", self.services, use)

    def describe(self):
        """Return the answer as the feature writes it."""
        if isinstance(self.answer, Err):
            return type(self.answer.err_value).__name__
        value = self.answer.ok_value
        if self.operation == "put":
            return "stored" if self.services.objects.objects.get(NAME) == BODY else "lost"
        if self.operation == "list":
            return ", ".join(value) or "no name"
        known = {None: "absent", b"": "an empty body", BODY: f"the body of {NAME}"}
        return known[value]


@given("the {adapter} object store with objects {names}")
def step_store(context, adapter, names):
    context.objects = ObjectScenario(adapter)
    objects = context.objects.services.objects.objects
    if names == "an empty one":
        objects[NAME] = b""
    elif names != "none":
        objects.update(dict.fromkeys(names.split(", "), BODY))


@given("the object store is down")
def step_down(context):
    context.objects.services.objects.available = False


@given("an object store address that answers {answer}")
def step_stranger(context, answer):
    context.objects = ObjectScenario(stranger=answer)


@when("the store runs {operation}")
def step_run(context, operation):
    context.objects.run(operation)


@then("the store gives {answer}")
def step_gives(context, answer):
    assert context.objects.describe() == answer, context.objects.answer
