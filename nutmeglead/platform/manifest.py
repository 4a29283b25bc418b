"""Decode the operator's manifest."""

import json
from typing import Any

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

__all__ = ["decode_manifest", "encode_manifest"]

_KINDS = {
    "safe": RequestKind.IDEMPOTENT,
    "unsafe": RequestKind.AT_MOST_ONCE,
    "download": RequestKind.LARGE_ANSWER,
}


def decode_manifest(data: bytes) -> Result[Manifest, CodecError]:
    """Return the manifest; a fault anywhere refuses the whole version."""
    parsed = parse_object("a manifest", data)
    if isinstance(parsed, Err):
        return parsed
    fields = parsed.ok_value
    try:
        services = {}
        for entry in _objects(fields, "services"):
            service = _service(entry)
            services[service.name] = service
        routes = tuple(_route(entry) for entry in _objects(fields, "routes"))
        version = _version(parse_text(fields, "version"))
        return Ok(Manifest(version, routes, services, _limits(fields.get("limits"))))
    except FieldError as error:
        return Err(CodecError("a manifest", str(error)))


def _objects(fields: dict[str, Any], name: str) -> list[dict[str, Any]]:
    value = fields.get(name)
    if not isinstance(value, list) or not all(isinstance(entry, dict) for entry in value):
        raise FieldError(name, "a list of objects", value)
    return value


def _version(given: str) -> int:
    if given[:1] != "r" or not given[1:].isdigit():
        raise FieldError("version", "'r' and a number", given)
    return int(given[1:])


def _service(fields: dict[str, Any]) -> ServiceSpec:
    return ServiceSpec(
        ServiceName(parse_text(fields, "name")),
        parse_text(fields, "health_check_path"),
        parse_integer(fields, "max_connections"),
        has_keys=fields.get("sharded") is True,
        # "call": the service's servers take grants on their own address.
        takes_grants=fields.get("grants") == "call",
        # `warm_s` is how long keys that arrive without a handover are slow.
        cold_keys_ms=parse_seconds_as_ms(fields, "warm_s", 0),
    )


def _route(fields: dict[str, Any]) -> Route:
    kind = _KINDS.get(parse_text(fields, "kind"))
    if kind is None:
        raise FieldError("kind", f"one of {', '.join(_KINDS)}", fields["kind"])
    return Route(
        parse_text(fields, "name"),
        parse_text(fields, "host").lower(),
        parse_text(fields, "prefix"),
        kind,
        parse_seconds_as_ms(fields, "timeout_s"),
        parse_seconds_as_ms(fields, "target_latency_s"),
        parse_integer(fields, "priority", 0),
        # `max_attempts` counts servers, not sends.
        max(1, parse_integer(fields, "max_attempts", 1)),
        _backends(fields),
    )


def _backends(fields: dict[str, Any]) -> tuple[Backend, ...]:
    if fields.get("backends") is None:
        return (Backend(ServiceName(parse_text(fields, "service")), 1.0),)
    entries = _objects(fields, "backends")
    backends = tuple(
        Backend(ServiceName(parse_text(entry, "service")), parse_number(entry, "weight"))
        for entry in entries
    )
    if not sum(backend.weight for backend in backends) > 0:
        raise FieldError("backends", "a positive sum of weights", entries)
    return backends


def _limits(given: Any) -> ClientLimits:
    if not isinstance(given, dict):
        return ClientLimits()
    default = ClientLimits()
    return ClientLimits(
        parse_integer(given, "max_header_bytes", default.head_size_bytes),
        parse_integer(given, "max_body_bytes", default.body_size_bytes),
        parse_seconds_as_ms(given, "header_timeout_s", default.head_timeout_ms / 1000),
        parse_seconds_as_ms(given, "idle_timeout_s", default.idle_timeout_ms / 1000),
    )


def encode_manifest(manifest: Manifest) -> bytes:
    """Return a manifest as the operator writes it, for emulated deployments."""
    limits = manifest.limits
    fields = {
        "version": f"r{manifest.version}",
        "routes": [_route_fields(route) for route in manifest.routes],
        "services": [_service_fields(spec) for spec in manifest.services.values()],
        "limits": {
            "max_header_bytes": limits.head_size_bytes,
            "max_body_bytes": limits.body_size_bytes,
            "header_timeout_s": limits.head_timeout_ms / 1000,
            "idle_timeout_s": limits.idle_timeout_ms / 1000,
        },
    }
    return json.dumps(fields).encode()


def _service_fields(spec: ServiceSpec) -> dict[str, Any]:
    return {
        "name": spec.name,
        "health_check_path": spec.health_path,
        "max_connections": spec.max_connections,
        "sharded": spec.has_keys,
        "grants": "call" if spec.takes_grants else "",
        "warm_s": spec.cold_keys_ms / 1000,
    }


def _route_fields(route: Route) -> dict[str, Any]:
    kinds = {kind: name for name, kind in _KINDS.items()}
    fields = {
        "name": route.name,
        "host": route.host,
        "prefix": route.prefix,
        "kind": kinds[route.kind],
        "timeout_s": route.timeout_ms / 1000,
        "target_latency_s": route.target_latency_ms / 1000,
        "priority": route.priority,
        "max_attempts": route.max_servers,
    }
    if len(route.backends) == 1:
        return {**fields, "service": route.backends[0].service}
    backends = [{"service": entry.service, "weight": entry.weight} for entry in route.backends]
    return {**fields, "backends": backends}
