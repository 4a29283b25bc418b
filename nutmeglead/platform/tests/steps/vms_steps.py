"""Steps for the contract of the VmList port; every adapter runs the same scenarios."""

from behave import given, then, when
from result import Err

from nutmeglead.core.ids import FailureDomainName, Incarnation
from nutmeglead.platform.ports import VmEntry, VmState
from nutmeglead.platform.tests.adapters import Services, use_adapter, use_stranger


class VmScenario:
    def __init__(self, adapter=None, stranger=None):
        self.adapter = adapter
        self.stranger = stranger
        self.services = Services.empty()
        self.answer = None

    def read(self):
        if self.stranger is not None:
            return use_stranger(self.stranger, "vms", lambda vms: vms.read())
        return use_adapter(self.adapter, "vms", self.services, lambda vms: vms.read())


def entries_of(text):
    """Return entries whose fields all differ from each other."""
    if text in ("no VM", "an outage"):
        return []
    words = [word.split() for word in text.split(", ")]
    domain = FailureDomainName("halle-a")
    return [
        VmEntry(
            f"vm-{n}", role, f"10.0.0.{n}", 9000 + n, domain, VmState(state), Incarnation(f"i{n}")
        )
        for n, (role, state) in enumerate(words)
    ]


@given("the {adapter} VM list with {vms}")
def step_list(context, adapter, vms):
    context.vms = VmScenario(adapter)
    context.vms.services.vms.entries = entries_of(vms)
    context.vms.services.vms.available = vms != "an outage"


@given("a VM list address that answers {answer}")
def step_stranger(context, answer):
    context.vms = VmScenario(stranger=answer)


@when("the VM list is read")
def step_read(context):
    context.vms.answer = context.vms.read()


@then("the list gives {answer}")
def step_gives(context, answer):
    found = context.vms.answer
    if isinstance(found, Err):
        assert type(found.err_value).__name__ == answer, found
    else:
        assert found.ok_value == entries_of(answer), found
