"""Decode the manifest, the operator's document of routes and services, from JSON."""

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

__all__ = ["ManifestDecoder", "encode_manifest"]

_KINDS_BY_NAME = {
    "safe": RequestKind.IDEMPOTENT,
    "unsafe": RequestKind.AT_MOST_ONCE,
    "download": RequestKind.LARGE_ANSWER,
}


class ManifestDecoder:
    """Decode the successive versions of a manifest, and keep the routes that do not change.

    The event loop stands still while a manifest is decoded, and parsing a route takes four times as
    long as comparing it with its earlier version.
    """

    def __init__(self) -> None:
        # The routes of the newest manifest by name, each with the JSON object it was parsed from.
        self._parsed: dict[str, tuple[dict[str, Any], Route]] = {}

    def decode(self, data: bytes) -> Result[Manifest, CodecError]:
        """Return the manifest, or a CodecError if any part of it is malformed."""
        document = parse_object("a manifest", data)
        if isinstance(document, Err):
            return document
        fields = document.ok_value
        try:
            services = {}
            for entry in _parse_objects(fields, "services"):
                service = _parse_service(entry)
                services[service.name] = service
            entries = _parse_objects(fields, "routes")
            routes = tuple(self._route(entry) for entry in entries)
            version = _parse_version(parse_text(fields, "version"))
            manifest = Manifest(version, routes, services, _parse_limits(fields.get("limits")))
        except (ValueError, RecursionError) as error:
            # Objects that are nested deeply cannot be compared with their earlier version.
            return Err(CodecError("a manifest", str(error)))
        self._parsed = {
            route.name: (entry, route) for entry, route in zip(entries, routes, strict=True)
        }
        return Ok(manifest)

    def _route(self, entry: dict[str, Any]) -> Route:
        known = self._parsed.get(parse_text(entry, "name"))
        if known is not None and known[0] == entry:
            return known[1]
        return _parse_route(entry)


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


def _parse_service(fields: dict[str, Any]) -> ServiceSpec:
    return ServiceSpec(
        ServiceName(parse_text(fields, "name")),
        parse_text(fields, "health_check_path"),
        parse_integer(fields, "max_connections"),
        has_keys=fields.get("sharded") is True,
        # With "call", servers receive grants as HTTP calls at their own address.
        takes_grants=fields.get("grants") == "call",
        # Requests are slow for `warm_s` after a server got their key without a handover.
        cold_keys_ms=parse_seconds_as_ms(fields, "warm_s", 0),
    )


def _parse_route(fields: dict[str, Any]) -> Route:
    kind = _KINDS_BY_NAME.get(parse_text(fields, "kind"))
    if kind is None:
        raise FieldError("kind", f"one of {', '.join(_KINDS_BY_NAME)}", fields["kind"])
    return Route(
        parse_text(fields, "name"),
        parse_text(fields, "host").lower(),
        parse_text(fields, "prefix"),
        kind,
        parse_seconds_as_ms(fields, "timeout_s"),
        parse_seconds_as_ms(fields, "target_latency_s"),
        parse_integer(fields, "priority", 0),
        # `max_attempts` bounds the number of servers tried, not of times the request is sent.
        max(1, parse_integer(fields, "max_attempts", 1)),
        _parse_backends(fields),
    )


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


def _parse_limits(value: Any) -> ClientLimits:
    if not isinstance(value, dict):
        return ClientLimits()
    default = ClientLimits()
    return ClientLimits(
        parse_integer(value, "max_header_bytes", default.head_size_bytes),
        parse_integer(value, "max_body_bytes", default.body_size_bytes),
        parse_seconds_as_ms(value, "header_timeout_s", default.head_timeout_ms / 1000),
        parse_seconds_as_ms(value, "idle_timeout_s", default.idle_timeout_ms / 1000),
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
