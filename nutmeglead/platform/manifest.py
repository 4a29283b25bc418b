"""Decode the manifest, the operator's document of routes and services, from JSON.

A part that this version does not understand does not keep the rest from coming into force. The part
itself takes the safest meaning that is left: an unknown kind of request runs at most once, an
unusable number takes its default, and a route without a usable service answers that it has none.
"""

import json
import math
from collections.abc import Callable, Iterator
from functools import partial
from typing import Any, TypeVar

from result import Err, Ok, Result

from nutmeglead.core.errors import CodecError
from nutmeglead.core.ids import ServiceName
from nutmeglead.forwarding.model import (
    Backend,
    ClientLimits,
    Manifest,
    RequestKind,
    Route,
    ServiceSpec,
)
from nutmeglead.platform.fields import (
    FieldError,
    parse_integer,
    parse_number,
    parse_object,
    parse_seconds_as_ms,
    parse_text,
)

__all__ = ["ManifestDecoder", "encode_manifest"]

_KINDS_BY_NAME = {
    "safe": RequestKind.IDEMPOTENT,
    "unsafe": RequestKind.AT_MOST_ONCE,
    "download": RequestKind.LARGE_ANSWER,
    "upload": RequestKind.LARGE_BODY,
}

# Defaults of a route whose own figures cannot be used.
DEFAULT_TIMEOUT_S = 5.0
DEFAULT_TARGET_LATENCY_S = 1.0
# A service that cannot be decoded, or a route without one, is named so; no manifest names it.
NO_SERVICE = ServiceName("")

Parsed = TypeVar("Parsed")


class _Faults:
    """Collect the parts of a manifest that cannot be used, each with its path."""

    def __init__(self) -> None:
        self.texts: list[str] = []

    def add(self, path: str, error: object) -> None:
        """Record why a part cannot be used as it is."""
        self.texts.append(f"{path}: {error}")

    def parse_or(self, path: str, default: Parsed, parse: Callable[[], Parsed]) -> Parsed:
        """Return what `parse` returns, or record its FieldError and return the default."""
        try:
            return parse()
        except FieldError as error:
            self.add(path, error)
            return default


class ManifestDecoder:
    """Decode the successive versions of a manifest, and keep the routes that do not change.

    The event loop stands still while a manifest is decoded, and parsing a route takes four times as
    long as comparing it with its earlier version.
    """

    def __init__(self) -> None:
        # The routes of the newest manifest by name, each with the JSON object it was parsed from.
        self._parsed: dict[str, tuple[dict[str, Any], Route]] = {}

    def decode(self, data: bytes) -> Result[Manifest, CodecError]:
        """Return the manifest, or a CodecError if its version, routes or services are no lists.

        Entries of these lists that cannot be used are named in the manifest's `faults`.
        """
        document = parse_object("a manifest", data)
        if isinstance(document, Err):
            return document
        fields = document.ok_value
        faults = _Faults()
        parsed: dict[str, tuple[dict[str, Any], Route]] = {}
        try:
            services = _parse_services(fields, faults)
            routes = tuple(self._parse_routes(fields, faults, parsed))
            version = _parse_version(parse_text(fields, "version"))
            limits = _parse_limits(fields.get("limits"), faults)
        except (ValueError, RecursionError) as error:
            # Objects that are nested deeply cannot be compared with their earlier version.
            return Err(CodecError("a manifest", str(error)))
        self._parsed = parsed
        return Ok(Manifest(version, routes, services, limits, tuple(faults.texts)))

    def _parse_routes(
        self,
        fields: dict[str, Any],
        faults: _Faults,
        parsed: dict[str, tuple[dict[str, Any], Route]],
    ) -> Iterator[Route]:
        """Yield the routes that can be used; `parsed` gets those without a fault."""
        for index, entry in _objects(fields, "routes", faults):
            name = entry.get("name")
            known = self._parsed.get(name) if isinstance(name, str) else None
            if known is not None and known[0] == entry:
                parsed[known[1].name] = known
                yield known[1]
                continue
            count = len(faults.texts)
            route = faults.parse_or(f"routes[{index}]", None, partial(_parse_route, entry, faults))
            if route is None:
                continue
            if len(faults.texts) == count:
                parsed[route.name] = (entry, route)
            yield route


def _objects(
    fields: dict[str, Any], name: str, faults: _Faults
) -> Iterator[tuple[int, dict[str, Any]]]:
    """Yield the objects in a list with their index; other entries of the list are faults."""
    value = fields.get(name)
    if not isinstance(value, list):
        raise FieldError(name, "a list of objects", value)
    for index, entry in enumerate(value):
        if isinstance(entry, dict):
            yield index, entry
        else:
            faults.add(f"{name}[{index}]", FieldError(name, "an object", entry))


def _parse_objects(fields: dict[str, Any], name: str) -> list[dict[str, Any]]:
    """Return a field that is a list of objects."""
    value = fields.get(name)
    if not isinstance(value, list) or not all(isinstance(entry, dict) for entry in value):
        raise FieldError(name, "a list of objects", value)
    return value


def _parse_version(text: str) -> int:
    """Return the number in a version such as "r7"."""
    if text[:1] != "r" or not text[1:].isdigit():
        raise FieldError("version", "the letter r and a number", text)
    return int(text[1:])


def _parse_services(fields: dict[str, Any], faults: _Faults) -> dict[ServiceName, ServiceSpec]:
    """Return the services that can be used, by name."""
    services = {}
    for index, entry in _objects(fields, "services", faults):
        service = faults.parse_or(
            f"services[{index}]", None, partial(_parse_service, entry, faults)
        )
        if service is not None:
            services[service.name] = service
    return services


def _parse_service(fields: dict[str, Any], faults: _Faults) -> ServiceSpec:
    name = parse_text(fields, "name")
    path = f"service {name}"
    return ServiceSpec(
        ServiceName(name),
        parse_text(fields, "health_check_path"),
        parse_integer(fields, "max_connections"),
        has_keys=fields.get("sharded") is True,
        # With "call", servers receive grants as HTTP calls at their own address.
        takes_grants=fields.get("grants") == "call",
        # Requests are slow for `warm_s` after a server got their key without a handover.
        cold_keys_ms=parse_seconds_as_ms(fields, "warm_s", 0),
        warmup_ms=faults.parse_or(path, 0, lambda: parse_seconds_as_ms(fields, "warmup_s", 0)),
        # Without a usable rate there is no limit.
        warmup_per_s=faults.parse_or(path, 0.0, lambda: _parse_rate(fields, "warmup_per_s")),
    )


def _parse_rate(fields: dict[str, Any], name: str) -> float:
    """Return a rate that is 0 or more; an absent one is 0."""
    rate = parse_number(fields, name, 0)
    if not 0 <= rate < math.inf:
        raise FieldError(name, "a finite number from 0", rate)
    return rate


def _parse_route(fields: dict[str, Any], faults: _Faults) -> Route:
    """Return a route; raise FieldError if nothing tells which requests it is for."""
    name = parse_text(fields, "name")
    host, prefix = parse_text(fields, "host").lower(), parse_text(fields, "prefix")
    path = f"route {name}"

    def number(field: str, default: float) -> float:
        return faults.parse_or(path, default, lambda: parse_number(fields, field, default))

    # Without the field the default is meant; a value that cannot be used is a fault.
    timeout_s = faults.parse_or(path, DEFAULT_TIMEOUT_S, lambda: parse_number(fields, "timeout_s"))
    target_s = faults.parse_or(
        path, DEFAULT_TARGET_LATENCY_S, lambda: parse_number(fields, "target_latency_s")
    )
    return Route(
        name,
        host,
        prefix,
        _parse_kind(fields, path, faults),
        round(timeout_s * 1000),
        round(target_s * 1000),
        int(number("priority", 0)),
        # `max_attempts` bounds the number of servers tried, not of times the request is sent.
        max(1, int(number("max_attempts", 1))),
        faults.parse_or(path, (Backend(NO_SERVICE, 1.0),), lambda: _parse_backends(fields)),
    )


def _parse_kind(fields: dict[str, Any], path: str, faults: _Faults) -> RequestKind:
    """Return the kind of a route's requests; an unknown kind runs at most once."""
    given = fields.get("kind")
    kind = _KINDS_BY_NAME.get(given) if isinstance(given, str) else None
    if kind is not None:
        return kind
    faults.add(path, FieldError("kind", f"one of {', '.join(_KINDS_BY_NAME)}", given))
    return RequestKind.AT_MOST_ONCE


def _parse_backends(fields: dict[str, Any]) -> tuple[Backend, ...]:
    """Return the weighted backends, or the one in `service` if the route has no `backends`."""
    if fields.get("backends") is None:
        return (Backend(ServiceName(parse_text(fields, "service")), 1.0),)
    entries = _parse_objects(fields, "backends")
    backends = tuple(
        Backend(ServiceName(parse_text(entry, "service")), parse_number(entry, "weight"))
        for entry in entries
    )
    if not sum(backend.weight for backend in backends) > 0:
        raise FieldError("backends", "weights with a sum above 0", entries)
    return backends


def _parse_limits(value: Any, faults: _Faults) -> ClientLimits:
    """Return the limits on clients; a limit that cannot be used takes its default."""
    if not isinstance(value, dict):
        return ClientLimits()
    default = ClientLimits()

    def number(field: str, default: float) -> float:
        return faults.parse_or("limits", default, lambda: parse_number(value, field, default))

    return ClientLimits(
        int(number("max_header_bytes", default.head_size_bytes)),
        int(number("max_body_bytes", default.body_size_bytes)),
        round(number("header_timeout_s", default.head_timeout_ms / 1000) * 1000),
        round(number("idle_timeout_s", default.idle_timeout_ms / 1000) * 1000),
    )


def encode_manifest(manifest: Manifest) -> bytes:
    """Return the JSON that `ManifestDecoder` reads, for emulated deployments."""
    limits = manifest.limits
    fields = {
        "version": f"r{manifest.version}",
        "routes": [_encode_route(route) for route in manifest.routes],
        "services": [_encode_service(spec) for spec in manifest.services.values()],
        "limits": {
            "max_header_bytes": limits.head_size_bytes,
            "max_body_bytes": limits.body_size_bytes,
            "header_timeout_s": limits.head_timeout_ms / 1000,
            "idle_timeout_s": limits.idle_timeout_ms / 1000,
        },
    }
    return json.dumps(fields).encode()


def _encode_service(spec: ServiceSpec) -> dict[str, Any]:
    return {
        "name": spec.name,
        "health_check_path": spec.health_path,
        "max_connections": spec.max_connections,
        "sharded": spec.has_keys,
        "grants": "call" if spec.takes_grants else "",
        "warm_s": spec.cold_keys_ms / 1000,
        "warmup_s": spec.warmup_ms / 1000,
        "warmup_per_s": spec.warmup_per_s,
    }


def _encode_route(route: Route) -> dict[str, Any]:
    kind_names = {kind: name for name, kind in _KINDS_BY_NAME.items()}
    fields = {
        "name": route.name,
        "host": route.host,
        "prefix": route.prefix,
        "kind": kind_names[route.kind],
        "timeout_s": route.timeout_ms / 1000,
        "target_latency_s": route.target_latency_ms / 1000,
        "priority": route.priority,
        "max_attempts": route.max_servers,
    }
    if len(route.backends) == 1:
        return {**fields, "service": route.backends[0].service}
    backends = [{"service": item.service, "weight": item.weight} for item in route.backends]
    return {**fields, "backends": backends}
