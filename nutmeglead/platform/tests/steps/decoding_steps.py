"""Steps for decoding server entries, manifests and the settings file."""

import json
import re

from behave import given, then, when
from result import Err

from nutmeglead.forwarding.model import ServerState
from nutmeglead.platform.manifest import ManifestDecoder
from nutmeglead.platform.node_settings import decode_settings
from nutmeglead.platform.registry import decode_server

SERVER_ENTRY = {
    "service": "stock",
    "address": "10.128.0.9:8080",
    "zone": "halle-a",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "warmup_left_s": 0,
    "seq": 4,
    "born": 1_700_000_000_000,
}
MANIFEST = {
    "version": "r7",
    "routes": [
        {
            "name": "lookup",
            "host": "a.example",
            "prefix": "/s/",
            "kind": "safe",
            "timeout_s": 0.8,
            "target_latency_s": 0.3,
            "priority": 2,
            "service": "stock",
            "max_attempts": 2,
        }
    ],
    "services": [
        {"name": "stock", "health_check_path": "/health", "max_connections": 130},
        {"name": "spare", "health_check_path": "/health", "max_connections": 130},
    ],
}
SETTINGS = """
node = "front-halle-a-1"
role = "entry"
ip = "10.1.0.34"
zone = "halle-a"
port_range = [7540,7555]
bounds = ["drain_s=2","grace_s=6","config_apply_s=2","retry_budget_ratio=0.2","later=true"]
something_new = []
[listen]
front = "10.1.0.34:8548"
readiness = "10.1.0.34:8542"
[limits]
cpu_share = 0.86
max_fds = 4100
[platform]
address = "10.200.1.7:8541"
form = "table"
row_bytes = 65536
"""


# Stands for lists that are nested more deeply than the decoder can follow.
NESTED = "nested lists"
NESTED_BYTES = b"[" * 100_000 + b"]" * 100_000


class DecodingScenario:
    """A server entry and a manifest that a scenario changes before they are decoded."""

    def __init__(self):
        self.fields = dict(SERVER_ENTRY)
        self.data = json.dumps(SERVER_ENTRY).encode()
        self.manifest = json.loads(json.dumps(MANIFEST))

    @property
    def server(self):
        return decode_server("i-1", self.data)

    @property
    def decoded_manifest(self):
        data = json.dumps(self.manifest).encode()
        return ManifestDecoder().decode(data.replace(b'"nested lists"', NESTED_BYTES))


@given("a valid server entry")
@given("a valid manifest")
def step_valid_document(context):
    context.decoding = DecodingScenario()


@when("its {field} is {value}")
def step_set_field(context, field, value):
    fields = context.decoding.fields
    if value == "missing":
        del fields[field]
    elif value != "as it is":
        try:
            fields[field] = json.loads(value)
        except ValueError:
            fields[field] = value
    context.decoding.data = json.dumps(fields).encode()


@when("its bytes are {form}")
def step_replace_bytes(context, form):
    data = context.decoding.data
    context.decoding.data = {"nothing": b"", "a list": b"[]", "cut": data[: len(data) // 2]}[form]


@then("the entry gives a ready server")
def step_ready_server(context):
    server = context.decoding.server.unwrap()
    assert (server.ip, server.port, server.slots) == ("10.128.0.9", 8080, 4)
    assert server.state is ServerState.READY


@then("the entry gives a leaving server")
def step_leaving_server(context):
    assert context.decoding.server.unwrap().state is ServerState.LEAVING


@then("the entry gives a server that warms up for {warmup_ms:d} ms")
def step_warmup(context, warmup_ms):
    assert context.decoding.server.unwrap().warmup_left_ms == warmup_ms


@then("the entry is refused")
def step_entry_refused(context):
    assert isinstance(context.decoding.server, Err)


MANIFEST_CHANGES = {
    "nothing changes": lambda route, manifest: None,
    "a route is split 90 to 10": lambda route, manifest: route.update(
        backends=[{"service": "stock", "weight": 90}, {"service": "spare", "weight": 10}]
    ),
    "a kind is upload": lambda route, manifest: route.update(kind="upload"),
    "a kind is unknown": lambda route, manifest: route.update(kind="sometimes"),
    "a kind is a list": lambda route, manifest: route.update(kind=["safe"]),
    "a timeout is a text": lambda route, manifest: route.update(timeout_s="soon"),
    "a route has no service": lambda route, manifest: route.pop("service"),
    "a route has no prefix": lambda route, manifest: route.pop("prefix"),
    "a route is no object": lambda route, manifest: manifest.update(routes=["lookup"]),
    "a service has no limit": lambda route, manifest: manifest["services"][0].pop(
        "max_connections"
    ),
    "a client limit is a text": lambda route, manifest: manifest.update(
        limits={"max_body_bytes": "large"}
    ),
    "the version is a number": lambda route, manifest: manifest.update(version=7),
    "the version is a superscript": lambda route, manifest: manifest.update(version="r²"),
    "a field is nested deeply": lambda route, manifest: route.update(extra=NESTED),
    "all weights are zero": lambda route, manifest: route.update(
        backends=[{"service": "stock", "weight": 0}]
    ),
    "an unknown field is added": lambda route, manifest: route.update(colour="red"),
    "times are fractions": lambda route, manifest: route.update(timeout_s=0.85),
}


@when("{change} in the manifest")
def step_change_manifest(context, change):
    manifest = context.decoding.manifest
    MANIFEST_CHANGES[change](manifest["routes"][0], manifest)


@then("it has version 7 and the route lookup goes to stock")
def step_version_and_route(context):
    manifest = context.decoding.decoded_manifest.unwrap()
    backends = manifest.routes[0].backends
    assert manifest.version == 7 and [b.service for b in backends] == ["stock"]


@then("the route lookup goes to stock with weight 0.9 and to spare with weight 0.1")
def step_route_weights(context):
    backends = context.decoding.decoded_manifest.unwrap().routes[0].backends
    total = sum(backend.weight for backend in backends)
    assert {b.service: b.weight / total for b in backends} == {"stock": 0.9, "spare": 0.1}


@then("the route lookup times out after {timeout_ms:d} ms")
def step_route_timeout(context, timeout_ms):
    assert context.decoding.decoded_manifest.unwrap().routes[0].timeout_ms == timeout_ms


@then("the route lookup runs at most once {how} a fault")
def step_at_most_once(context, how):
    manifest = context.decoding.decoded_manifest.unwrap()
    assert not manifest.routes[0].kind.may_repeat
    assert bool(manifest.faults) == (how == "with"), manifest.faults


@then("the route lookup has no usable service")
def step_no_usable_service(context):
    manifest = context.decoding.decoded_manifest.unwrap()
    (backend,) = manifest.routes[0].backends
    assert backend.service not in manifest.services and len(manifest.faults) == 1


@then("it has no routes and one fault")
def step_no_routes(context):
    manifest = context.decoding.decoded_manifest.unwrap()
    assert manifest.routes == () and len(manifest.faults) == 1, manifest


@then("it has version 7 and no service stock")
def step_no_service(context):
    manifest = context.decoding.decoded_manifest.unwrap()
    assert manifest.version == 7 and list(manifest.services) == ["spare"]


@then("the manifest is refused")
def step_manifest_refused(context):
    assert isinstance(context.decoding.decoded_manifest, Err)


@given("the example settings file of the platform with unknown fields")
def step_settings(context):
    context.settings = decode_settings(SETTINGS.encode())


@given("the example settings file of the platform without {field}")
def step_settings_without(context, field):
    text = re.sub(rf"(?m)^{field} = .*$", "", SETTINGS).replace(f"[{field}]", "[other]")
    context.settings = decode_settings(text.encode())


@given("the example settings file of the platform with the bounds {bounds}")
def step_settings_bounds(context, bounds):
    text = re.sub(r"(?m)^bounds = .*$", f"bounds = {bounds}", SETTINGS)
    context.settings = decode_settings(text.encode())


@given("the example settings file of the platform with the limits {limits}")
def step_settings_limits(context, limits):
    lines = "" if limits == "absent" else limits.replace(", ", "\n")
    context.settings = decode_settings(SETTINGS.replace("max_fds = 4100", lines).encode())


@then("it may take {memory_mb:d} MB and {callers} connections of callers")
def step_limits(context, memory_mb, callers):
    settings = context.settings.unwrap()
    assert settings.memory_bytes == memory_mb * 1_000_000, settings.memory_bytes
    assert str(settings.sockets.max_callers or "any") == callers, settings.sockets


@then("its drain bound is {leave_ms:d} ms")
def step_drain_bound(context, leave_ms):
    assert context.settings.unwrap().bounds.leave_ms == leave_ms


@then(
    "the node is front-halle-a-1 with its ports, its store and "
    "a drain bound of 2000 ms and a grace time of 6000 ms"
)
def step_node_settings(context):
    settings = context.settings.unwrap()
    ports = (settings.peer_port, settings.front_port, settings.ready_port)
    assert settings.node_id == "front-halle-a-1" and ports == (7540, 8548, 8542), settings
    assert (settings.store.ip, settings.store.port) == ("10.200.1.7", 8541)
    assert settings.bounds.leave_ms == 2_000 and settings.bounds.stop_grace_ms == 6_000


@then("the settings are refused and the reason names {field}")
def step_settings_refused(context, field):
    assert isinstance(context.settings, Err)
    assert field in str(context.settings.err_value), context.settings.err_value
