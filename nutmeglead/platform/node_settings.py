"""Decode the settings file that the platform writes for each process."""

import tomllib
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from nutmeglead.core.errors import CodecError
from nutmeglead.core.ids import FailureDomainName, NodeId
from nutmeglead.platform.addresses import parse_address
from nutmeglead.platform.fields import FieldError, parse_number, parse_seconds_as_ms, parse_text

__all__ = ["SETTINGS_VARIABLE", "Bounds", "NodeSettings", "StoreSettings", "decode_settings"]

SETTINGS_VARIABLE = "NUTMEGLEAD_SETTINGS"
# The deploy file names this port; the platform's settings have none for metrics.
METRICS_PORT = 9_464


@dataclass(frozen=True)
class StoreSettings:
    """Say where the store is."""

    ip: str
    port: int


@dataclass(frozen=True)
class Bounds:
    """Hold the times and ratios that the platform expects to be kept."""

    leave_ms: int
    stop_grace_ms: int
    retry_ratio: float
    retry_window_ms: int
    retry_base: int
    max_hold_ms: int


@dataclass(frozen=True)
class NodeSettings:
    """Describe this process: who it is, where it listens and what it may use."""

    node_id: NodeId
    ip: str
    failure_domain: FailureDomainName
    peer_port: int
    front_port: int
    ready_port: int
    store: StoreSettings
    bounds: Bounds
    cpu_cores: float
    metrics_port: int = METRICS_PORT


def decode_settings(data: bytes) -> Result[NodeSettings, CodecError]:
    """Return the settings; unknown fields are ignored."""
    try:
        return Ok(_settings(tomllib.loads(data.decode())))
    except ValueError as error:
        return Err(CodecError("the node settings", str(error)))


def _settings(fields: dict[str, Any]) -> NodeSettings:
    listen = _table(fields, "listen")
    limits = _table(fields, "limits")
    ports = fields.get("port_range")
    if not isinstance(ports, list) or len(ports) != 2:
        raise FieldError("port_range", "the first and the last port", ports)
    return NodeSettings(
        NodeId(parse_text(fields, "node")),
        parse_text(fields, "ip"),
        FailureDomainName(parse_text(fields, "zone")),
        int(ports[0]),
        parse_address(parse_text(listen, "front"))[1],
        parse_address(parse_text(listen, "readiness"))[1],
        _store(_table(fields, "platform")),
        _bounds(fields.get("bounds", [])),
        parse_number(limits, "cpu_share", 1.0) * parse_number(limits, "cores", 1),
    )


def _table(fields: dict[str, Any], name: str) -> dict[str, Any]:
    value = fields.get(name)
    if not isinstance(value, dict):
        raise FieldError(name, "a table", value)
    return value


def _store(fields: dict[str, Any]) -> StoreSettings:
    ip, port = parse_address(parse_text(fields, "address"))
    return StoreSettings(ip, port)


def _bounds(given: list[str]) -> Bounds:
    """Read texts of the form name=value; times are in seconds."""
    pairs = dict(entry.split("=", 1) for entry in given)
    values = {name: float(value) for name, value in pairs.items() if _is_number(value)}
    return Bounds(
        leave_ms=parse_seconds_as_ms(values, "drain_s", 2),
        stop_grace_ms=parse_seconds_as_ms(values, "grace_s", 6),
        retry_ratio=parse_number(values, "retry_budget_ratio", 0.1),
        retry_window_ms=parse_seconds_as_ms(values, "budget_window_s", 10),
        retry_base=int(parse_number(values, "retry_budget_extra", 0)),
        max_hold_ms=parse_seconds_as_ms(values, "max_hold_s", 10),
    )


def _is_number(given: str) -> bool:
    try:
        float(given)
    except ValueError:
        return False
    return True
