"""Steps that load the example settings and first tickets and check their values."""

from collections import Counter
from pathlib import Path

from behave import given, then

from nutmeglead._generated.settings.ttypes import NodeSettings
from nutmeglead._generated.tickets.ttypes import ServerState, Ticket
from nutmeglead.settings.loader import load_settings, load_struct

EXAMPLES = Path(__file__).parents[4] / "examples"


class ExampleDirectory:
    def __init__(self, user):
        files = sorted((EXAMPLES / user).glob("*.jsonc"))
        self.settings = {
            path.stem: load_settings(path).unwrap()
            for path in files
            if not path.stem.startswith("ticket")
        }
        first_ticket = EXAMPLES / user / "ticket-1.jsonc"
        self.ticket = load_struct(first_ticket.read_text(), Ticket, str(first_ticket)).unwrap()
        self.any_settings = next(iter(self.settings.values()))

    def service(self, name):
        return next(service for service in self.any_settings.services if service.name == name)

    def other_services(self, name):
        return [service for service in self.any_settings.services if service.name != name]


@given("the example directory of {user}")
def step_directory(context, user):
    context.example = ExampleDirectory(user)


@then("it has settings for the failure domains {domains}")
def step_domains(context, domains):
    expected = set(domains.split(", "))
    found = context.example.settings
    assert set(found) == expected
    assert all(found[name].node.failure_domain == name for name in expected)
    assert {domain.name for domain in context.example.any_settings.failure_domains} == expected


@then("the settings differ only in the node")
def step_differ_only_in_node(context):
    node_ids = set()
    for settings in context.example.settings.values():
        node_ids.add(settings.node.node_id)
        settings.node = NodeSettings()
        assert settings == context.example.any_settings
    assert len(node_ids) == len(context.example.settings)


@then("{name} has {slots:d} slots and {connections:d} connections, idempotent {idempotent}")
def step_size(context, name, slots, connections, idempotent):
    service = context.example.service(name)
    found = (service.slots_per_instance, service.connections_per_instance, service.idempotent)
    assert found == (slots, connections, idempotent == "true"), found


@then("the first ticket adds {instances:d} servers of {name}, spread over all failure domains")
def step_servers(context, instances, name):
    items = [item for item in context.example.ticket.servers if item.service_name == name]
    assert len({item.server_id for item in items}) == instances
    assert all(item.state == ServerState.PRESENT for item in items)
    spread = Counter(item.failure_domain for item in items)
    assert set(spread) == {domain.name for domain in context.example.any_settings.failure_domains}
    assert max(spread.values()) - min(spread.values()) <= 1, spread


@then("{name} has a higher priority than every other service")
def step_priority(context, name):
    own = context.example.service(name).priority
    assert all(own < other.priority for other in context.example.other_services(name))


@then("{name} has large answers and no other service has")
def step_large(context, name):
    assert context.example.service(name).large_answers
    assert not any(other.large_answers for other in context.example.other_services(name))


@then("no two processes or servers listen on the same port")
def step_ports(context):
    example = context.example
    ports = [item.address.port for item in example.ticket.servers]
    for settings in example.settings.values():
        node = settings.node
        ports += [getattr(node, s[2]) for s in node.thrift_spec if s and s[2].endswith("_port")]
    ports.append(example.any_settings.store.port)
    assert len(ports) == 6 + 3 * 4 + 1 == len(set(ports)), sorted(ports)
