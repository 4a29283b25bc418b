"""Check the values of settings: ranges, names, addresses, ports and values that must agree."""

import ipaddress
import re
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from typing import Any

from nutmeglead._generated.common.ttypes import Address
from nutmeglead._generated.settings.ttypes import Settings
from nutmeglead.core.registry import Registry
from nutmeglead.settings.errors import Fault, describe_value
from nutmeglead.settings.ranges import LOG_FORMATS, LOG_LEVELS, NAME_PATTERN, RANGES, Range
from nutmeglead.settings.structs import join_path

__all__ = ["SETTINGS_CHECKS", "check_ip", "check_ranges", "check_settings", "walk_structs"]

Check = Callable[[Settings], Iterable[Fault]]

SETTINGS_CHECKS: Registry[Check] = Registry("settings checks")


def check_settings(settings: Settings) -> tuple[Fault, ...]:
    """Return the faults that all registered checks find, sorted by path."""
    faults: list[Fault] = []
    for name in SETTINGS_CHECKS.names():
        faults += SETTINGS_CHECKS.get(name)(settings)
    return tuple(sorted(faults, key=lambda fault: fault.path))


def walk_structs(struct: Any, path: str = "") -> Iterator[tuple[str, Any]]:
    """Yield a struct and every struct nested in it, each with its path from the first one."""
    yield path, struct
    for spec in struct.thrift_spec:
        if spec is None:
            continue
        value = getattr(struct, spec[2])
        field_path = join_path(path, spec[2])
        if hasattr(value, "thrift_spec"):
            yield from walk_structs(value, field_path)
        elif isinstance(value, list):
            for position, item in enumerate(value):
                yield from walk_structs(item, f"{field_path}[{position}]")


def check_ip(ip: str, path: str) -> Iterator[Fault]:
    """Yield a fault at `path` if `ip` is not an IP address."""
    try:
        ipaddress.ip_address(ip)
    except ValueError:
        yield Fault(path, "an IP address", describe_value(ip))


def check_ranges(struct: Any, ranges: Mapping[type, Mapping[str, Range]]) -> Iterator[Fault]:
    """Yield a fault for each number outside its range, in a struct or in one nested in it.

    `ranges` gives the permitted range of each field, by struct type and field name.
    """
    for path, part in walk_structs(struct):
        for name, limits in ranges.get(type(part), {}).items():
            value = getattr(part, name)
            if not limits.low <= value <= limits.high:
                yield Fault(join_path(path, name), str(limits), describe_value(value))


@SETTINGS_CHECKS.register("ranges")
def _check_ranges(settings: Settings) -> Iterator[Fault]:
    yield from check_ranges(settings, RANGES)


@SETTINGS_CHECKS.register("addresses")
def _check_addresses(settings: Settings) -> Iterator[Fault]:
    yield from check_ip(settings.node.ip, "node.ip")
    for path, struct in walk_structs(settings):
        if isinstance(struct, Address):
            yield from check_ip(struct.ip, join_path(path, "ip"))


@SETTINGS_CHECKS.register("names")
def _check_names(settings: Settings) -> Iterator[Fault]:
    paths_and_names = [("user", settings.user), ("node.node_id", settings.node.node_id)]
    paths_and_names += [(f"services[{n}].name", s.name) for n, s in enumerate(settings.services)]
    paths_and_names += [
        (f"failure_domains[{n}].name", d.name) for n, d in enumerate(settings.failure_domains)
    ]
    for path, name in paths_and_names:
        if not re.fullmatch(NAME_PATTERN, name):
            yield Fault(path, f"a name of the form {NAME_PATTERN}", describe_value(name))


@SETTINGS_CHECKS.register("duplicates")
def _check_duplicates(settings: Settings) -> Iterator[Fault]:
    yield from _duplicate_names("services", settings.services)
    yield from _duplicate_names("failure_domains", settings.failure_domains)


def _duplicate_names(path: str, items: Sequence[Any]) -> Iterator[Fault]:
    counts = Counter(item.name for item in items)
    for position, item in enumerate(items):
        if counts[item.name] > 1:
            got = f"{describe_value(item.name)} {counts[item.name]} times"
            yield Fault(f"{path}[{position}].name", "a name that occurs once", got)


@SETTINGS_CHECKS.register("lists")
def _check_lists(settings: Settings) -> Iterator[Fault]:
    for name in ("services", "failure_domains"):
        if not getattr(settings, name):
            yield Fault(name, "a list of at least 1", "a list of 0")


@SETTINGS_CHECKS.register("failure domain")
def _check_failure_domain(settings: Settings) -> Iterator[Fault]:
    known = [domain.name for domain in settings.failure_domains]
    if settings.node.failure_domain not in known:
        got = describe_value(settings.node.failure_domain)
        yield Fault("node.failure_domain", f"one of {', '.join(known)}", got)


@SETTINGS_CHECKS.register("ports")
def _check_ports(settings: Settings) -> Iterator[Fault]:
    """Yield a fault for each port of the VM that an earlier field has too.

    Of two programs that listen on the same port, the second one would stop at its start.
    """
    names = [spec[2] for spec in settings.node.thrift_spec if spec and spec[2].endswith("_port")]
    field_by_port: dict[int, str] = {}
    for name in names:
        port = getattr(settings.node, name)
        if port in field_by_port:
            expected = f"a port other than that of {field_by_port[port]}"
            yield Fault(f"node.{name}", expected, str(port))
        field_by_port.setdefault(port, name)


@SETTINGS_CHECKS.register("log")
def _check_log(settings: Settings) -> Iterator[Fault]:
    for name, known in (("level", LOG_LEVELS), ("format", LOG_FORMATS)):
        value = getattr(settings.log, name)
        if value not in known:
            yield Fault(f"log.{name}", f"one of {', '.join(known)}", describe_value(value))


@SETTINGS_CHECKS.register("order")
def _check_order(settings: Settings) -> Iterator[Fault]:
    """Yield a fault for each latency target above its timeout and health path without a slash."""
    for position, service in enumerate(settings.services):
        if service.target_latency_ms > service.timeout_ms:
            expected = f"at most timeout_ms ({service.timeout_ms})"
            got = str(service.target_latency_ms)
            yield Fault(f"services[{position}].target_latency_ms", expected, got)
        if not service.health_path.startswith("/"):
            expected = "a path that begins with a slash"
            yield Fault(
                f"services[{position}].health_path", expected, describe_value(service.health_path)
            )
