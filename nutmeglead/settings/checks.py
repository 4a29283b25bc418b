"""Check the meaning of settings: ranges, names that must exist and values that must agree."""

import ipaddress
import re
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from typing import Any

from nutmeglead._generated.common.ttypes import Address
from nutmeglead._generated.settings.ttypes import ServiceSettings, Settings
from nutmeglead.core.registry import Registry
from nutmeglead.settings.errors import Fault, describe_value
from nutmeglead.settings.ranges import LEVELS, LOG_FORMATS, NAME_PATTERN, RANGES
from nutmeglead.settings.structs import join_path

__all__ = ["SETTINGS_CHECKS", "Policies", "check_ip", "check_settings", "walk_structs"]

Policies = Mapping[str, Registry[Any]]
Check = Callable[[Settings, Policies], Iterable[Fault]]

SETTINGS_CHECKS: Registry[Check] = Registry("settings checks")

# Fields of ServiceSettings that hold a struct with a `policy` name.
_POLICY_STRUCTS = ("admission", "concurrency", "retries", "ejection", "placement")


def check_settings(settings: Settings, policies: Policies) -> tuple[Fault, ...]:
    """Return the faults that all registered checks find, in order of path.

    A kind of policy that `policies` does not name is left to the program that uses it.
    """
    faults: list[Fault] = []
    for name in SETTINGS_CHECKS.names():
        faults += SETTINGS_CHECKS.get(name)(settings, policies)
    return tuple(sorted(faults, key=lambda fault: fault.path))


def walk_structs(struct: Any, path: str = "") -> Iterator[tuple[str, Any]]:
    """Yield each struct of a tree with its path."""
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
    """Yield a fault if the text is not an IP address."""
    try:
        ipaddress.ip_address(ip)
    except ValueError:
        yield Fault(path, "an IP address", describe_value(ip))


@SETTINGS_CHECKS.register("ranges")
def _check_ranges(settings: Settings, policies: Policies) -> Iterator[Fault]:
    for path, struct in walk_structs(settings):
        for name, limits in RANGES.get(type(struct), {}).items():
            value = getattr(struct, name)
            if not limits.low <= value <= limits.high:
                yield Fault(join_path(path, name), str(limits), describe_value(value))


@SETTINGS_CHECKS.register("addresses")
def _check_addresses(settings: Settings, policies: Policies) -> Iterator[Fault]:
    yield from check_ip(settings.node.ip, "node.ip")
    for path, struct in walk_structs(settings):
        if isinstance(struct, Address):
            yield from check_ip(struct.ip, join_path(path, "ip"))


@SETTINGS_CHECKS.register("names")
def _check_names(settings: Settings, policies: Policies) -> Iterator[Fault]:
    named = [("user", settings.user), ("node.node_id", settings.node.node_id)]
    named += [(f"services[{n}].name", s.name) for n, s in enumerate(settings.services)]
    named += [
        (f"failure_domains[{n}].name", d.name) for n, d in enumerate(settings.failure_domains)
    ]
    for path, name in named:
        if not re.fullmatch(NAME_PATTERN, name):
            yield Fault(path, f"a name of the form {NAME_PATTERN}", describe_value(name))


@SETTINGS_CHECKS.register("duplicates")
def _check_duplicates(settings: Settings, policies: Policies) -> Iterator[Fault]:
    yield from _duplicate_names("services", settings.services)
    yield from _duplicate_names("failure_domains", settings.failure_domains)


def _duplicate_names(path: str, items: Sequence[Any]) -> Iterator[Fault]:
    counts = Counter(item.name for item in items)
    for position, item in enumerate(items):
        if counts[item.name] > 1:
            got = f"{describe_value(item.name)} {counts[item.name]} times"
            yield Fault(f"{path}[{position}].name", "a name that occurs once", got)


@SETTINGS_CHECKS.register("lists")
def _check_lists(settings: Settings, policies: Policies) -> Iterator[Fault]:
    for name in ("services", "failure_domains"):
        if not getattr(settings, name):
            yield Fault(name, "a list of at least 1", "a list of 0")


@SETTINGS_CHECKS.register("failure domain")
def _check_failure_domain(settings: Settings, policies: Policies) -> Iterator[Fault]:
    known = [domain.name for domain in settings.failure_domains]
    if settings.node.failure_domain not in known:
        got = describe_value(settings.node.failure_domain)
        yield Fault("node.failure_domain", f"one of {', '.join(known)}", got)


@SETTINGS_CHECKS.register("ports")
def _check_ports(settings: Settings, policies: Policies) -> Iterator[Fault]:
    """Two listeners of one VM on the same port would stop the second program at its start."""
    names = [spec[2] for spec in settings.node.thrift_spec if spec and spec[2].endswith("_port")]
    first_use: dict[int, str] = {}
    for name in names:
        port = getattr(settings.node, name)
        if port in first_use:
            expected = f"a port other than that of {first_use[port]}"
            yield Fault(f"node.{name}", expected, str(port))
        first_use.setdefault(port, name)


@SETTINGS_CHECKS.register("hash buckets")
def _check_hash_buckets(settings: Settings, policies: Policies) -> Iterator[Fault]:
    """Buckets are numbered by the top bits of the hash, so their number is a power of two."""
    for position, service in enumerate(settings.services):
        count = service.hash_buckets
        if count < 1 or count & (count - 1):
            yield Fault(f"services[{position}].hash_buckets", "a power of two", str(count))


@SETTINGS_CHECKS.register("policies")
def _check_policies(settings: Settings, policies: Policies) -> Iterator[Fault]:
    push = settings.dissemination.push_strategy
    named = [("push", "dissemination.push_strategy", push)]
    for position, service in enumerate(settings.services):
        named += _policy_names(service, f"services[{position}]")
    for kind, path, name in named:
        if kind in policies and name not in policies[kind].names():
            expected = "one of " + ", ".join(policies[kind].names())
            yield Fault(path, expected, describe_value(name))


def _policy_names(service: ServiceSettings, path: str) -> Iterator[tuple[str, str, str]]:
    for kind in _POLICY_STRUCTS:
        yield kind, f"{path}.{kind}.policy", getattr(service, kind).policy
    yield "selection", f"{path}.selection", service.selection


@SETTINGS_CHECKS.register("log")
def _check_log(settings: Settings, policies: Policies) -> Iterator[Fault]:
    for name, known in (("level", LEVELS), ("format", LOG_FORMATS)):
        value = getattr(settings.log, name)
        if value not in known:
            yield Fault(f"log.{name}", f"one of {', '.join(known)}", describe_value(value))


@SETTINGS_CHECKS.register("order")
def _check_order(settings: Settings, policies: Policies) -> Iterator[Fault]:
    """Compare values that only work in one order."""
    ownership, spread = settings.ownership, settings.dissemination
    # A renewal must fit at least twice into a lease, or one lost message ends it.
    yield from _at_most("ownership", ownership, "renew_interval_ms", "lease_ttl_ms", 2)
    yield from _at_most("ownership", ownership, "suspect_after_ms", "lease_ttl_ms")
    yield from _at_most("dissemination", spread, "heartbeat_interval_ms", "silent_after_ms", 2)
    yield from _at_most("audit", settings.audit, "batch_max_records", "buffer_max_records")
    for position, service in enumerate(settings.services):
        path = f"services[{position}]"
        yield from _at_most(f"{path}.retries", service.retries, "backoff_base_ms", "backoff_max_ms")
        yield from _at_most(f"{path}.concurrency", service.concurrency, "min_limit", "max_limit")
        yield from _at_most(
            f"{path}.ejection", service.ejection, "base_ejection_ms", "max_ejection_ms"
        )


def _at_most(path: str, struct: Any, low: str, high: str, factor: int = 1) -> Iterator[Fault]:
    low_value, high_value = getattr(struct, low), getattr(struct, high)
    if low_value * factor > high_value:
        part = "" if factor == 1 else f"1/{factor} of "
        expected = f"at most {part}{high} ({high_value})"
        yield Fault(f"{path}.{low}", expected, str(low_value))


@SETTINGS_CHECKS.register("shares")
def _check_shares(settings: Settings, policies: Policies) -> Iterator[Fault]:
    """Services with a share of 100% use what the shares below 100% leave."""
    shares = [service.admission.share_percent for service in settings.services]
    own = [share for share in shares if share < 100]
    limit = 100 if len(own) == len(shares) else 99
    if sum(own) > limit:
        expected = f"admission shares below 100 % with a sum of at most {limit} %"
        yield Fault("services", expected, f"{sum(own)} %")


@SETTINGS_CHECKS.register("renewers")
def _check_renewers(settings: Settings, policies: Policies) -> Iterator[Fault]:
    """An even number of renewers tolerates no more losses than one renewer less."""
    count = settings.ownership.renewers_per_server
    if count % 2 == 0:
        yield Fault("ownership.renewers_per_server", "an odd number", str(count))
