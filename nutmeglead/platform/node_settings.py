"""Decode the settings file, in TOML, that the platform writes for each process."""

import math
import tomllib
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from nutmeglead.core.errors import CodecError
from nutmeglead.core.ids import FailureDomainName, NodeId
from nutmeglead.http.connection_limit import SocketBounds
from nutmeglead.platform.addresses import parse_address
from nutmeglead.platform.fields import (
    FieldError,
    parse_integer,
    parse_number,
    parse_seconds_as_ms,
    parse_text,
)

__all__ = ["SETTINGS_VARIABLE", "Bounds", "NodeSettings", "StoreSettings", "decode_settings"]

# Environment variable with the path of the settings file.
SETTINGS_VARIABLE = "NUTMEGLEAD_SETTINGS"
# The platform's settings have no port for metrics; the deploy file names this one.
DEFAULT_METRICS_PORT = 9_464
# Memory of the process without `limits.memory_mb` or with 0; an MB is 1,000,000 bytes.
DEFAULT_MEMORY_BYTES = 300_000_000
BYTES_PER_MB = 1_000_000
# An idle process takes 25 to 30 MB, and half of the memory is for bytes of connections.
MIN_MEMORY_MB = 40
# Descriptors that are kept for files and connections to peers and the store, and the share of the
# others that callers may take; the rest is for connections to servers.
RESERVED_FDS = 200
CALLER_FD_SHARE = 0.75
MIN_MAX_FDS = RESERVED_FDS + 32


@dataclass(frozen=True)
class StoreSettings:
    """Address of the platform's store."""

    ip: str
    port: int


@dataclass(frozen=True)
class Bounds:
    """Time limits and retry limits that the platform requires this system to keep.

    Retries are limited to `retry_ratio` of the requests of the last `retry_window_ms`, plus
    `retry_base`.
    """

    leave_ms: int
    stop_grace_ms: int
    retry_ratio: float
    retry_window_ms: int
    retry_base: int
    max_hold_ms: int
    # Time after an evacuation of a failure domain after which no request may reach its servers.
    evacuate_ms: int = 5_000
    # In any second, a server that is warming up gets at most `warmup_overage` times the rate that
    # it can take then, plus `warmup_slack` requests.
    warmup_overage: float = 1.5
    warmup_slack: float = 8.0
    # Time after a server's end after which another server can get its address.
    reuse_after_ms: int = 2_000


@dataclass(frozen=True)
class NodeSettings:
    """Settings of this process: its identity, ports, store, bounds and share of the processor."""

    node_id: NodeId
    ip: str
    failure_domain: FailureDomainName
    peer_port: int
    front_port: int
    ready_port: int
    store: StoreSettings
    bounds: Bounds
    cpu_cores: float
    metrics_port: int = DEFAULT_METRICS_PORT
    memory_bytes: int = DEFAULT_MEMORY_BYTES
    sockets: SocketBounds = SocketBounds()


def decode_settings(data: bytes) -> Result[NodeSettings, CodecError]:
    """Return the settings, or a CodecError; unknown fields are ignored."""
    try:
        return Ok(_parse_settings(tomllib.loads(data.decode())))
    except ValueError as error:
        return Err(CodecError("the node settings", str(error)))


def _parse_settings(fields: dict[str, Any]) -> NodeSettings:
    listen = _parse_table(fields, "listen")
    limits = _parse_table(fields, "limits")
    ports = fields.get("port_range")
    if not isinstance(ports, list) or len(ports) != 2 or not all(map(_is_port, ports)):
        raise FieldError("port_range", "a list of the first and the last port", ports)
    return NodeSettings(
        NodeId(parse_text(fields, "node")),
        parse_text(fields, "ip"),
        FailureDomainName(parse_text(fields, "zone")),
        # The first port of the range becomes the peer port.
        ports[0],
        parse_address(parse_text(listen, "front"))[1],
        parse_address(parse_text(listen, "readiness"))[1],
        _parse_store(_parse_table(fields, "platform")),
        _parse_bounds(_parse_list(fields, "bounds")),
        parse_number(limits, "cpu_share", 1.0) * parse_number(limits, "cores", 1),
        memory_bytes=_parse_memory_bytes(limits),
        sockets=_parse_socket_bounds(limits),
    )


def _parse_memory_bytes(limits: dict[str, Any]) -> int:
    """Return the memory of the process; 0 stands for the default, as an absent limit does."""
    memory_mb = parse_number(limits, "memory_mb", 0)
    if memory_mb == 0:
        return DEFAULT_MEMORY_BYTES
    if memory_mb < MIN_MEMORY_MB:
        raise FieldError("memory_mb", f"0 or at least {MIN_MEMORY_MB}", memory_mb)
    return round(memory_mb * BYTES_PER_MB)


def _parse_socket_bounds(limits: dict[str, Any]) -> SocketBounds:
    """Return how many connections `max_fds` leaves; absent or 0 sets no bound."""
    max_fds = parse_integer(limits, "max_fds", 0)
    if max_fds == 0:
        return SocketBounds()
    if max_fds < MIN_MAX_FDS:
        raise FieldError("max_fds", f"0 or at least {MIN_MAX_FDS}", max_fds)
    max_total = max_fds - RESERVED_FDS
    return SocketBounds(int(max_total * CALLER_FD_SHARE), max_total)


def _parse_table(fields: dict[str, Any], name: str) -> dict[str, Any]:
    value = fields.get(name)
    if not isinstance(value, dict):
        raise FieldError(name, "a table", value)
    return value


def _parse_list(fields: dict[str, Any], name: str) -> list[Any]:
    value = fields.get(name, [])
    if not isinstance(value, list):
        raise FieldError(name, "a list", value)
    return value


def _is_port(value: object) -> bool:
    return isinstance(value, int) and 0 < value < 65_536


def _parse_store(fields: dict[str, Any]) -> StoreSettings:
    ip, port = parse_address(parse_text(fields, "address"))
    return StoreSettings(ip, port)


def _parse_bounds(texts: list[Any]) -> Bounds:
    """Return the bounds in texts such as "drain_s=2", with times in seconds.

    A text of another form or a value that is no number is ignored, as a newer platform may have
    them; an absent bound gets its default.
    """
    pairs = dict(text.split("=", 1) for text in texts if isinstance(text, str) and "=" in text)
    values = {name: float(value) for name, value in pairs.items() if _is_number(value)}
    return Bounds(
        leave_ms=parse_seconds_as_ms(values, "drain_s", 2),
        stop_grace_ms=parse_seconds_as_ms(values, "grace_s", 6),
        retry_ratio=parse_number(values, "retry_budget_ratio", 0.1),
        retry_window_ms=parse_seconds_as_ms(values, "budget_window_s", 10),
        retry_base=int(parse_number(values, "retry_budget_extra", 0)),
        max_hold_ms=parse_seconds_as_ms(values, "max_hold_s", 10),
        evacuate_ms=round(_parse_bound(values, "evacuate_s", 5) * 1000),
        warmup_overage=_parse_bound(values, "warmup_overage", 1.5),
        warmup_slack=_parse_bound(values, "warmup_slack", 8),
        reuse_after_ms=round(_parse_bound(values, "reuse_after_s", 2) * 1000),
    )


def _parse_bound(values: dict[str, float], name: str, default: float) -> float:
    """Return a bound's value, or the default; raise FieldError if it is negative or not finite."""
    value = values.get(name, default)
    if not 0 <= value < math.inf:
        raise FieldError(f"bounds, {name}", "a finite number from 0", value)
    return value


def _is_number(text: str) -> bool:
    try:
        float(text)
    except ValueError:
        return False
    return True
