"""The operator's manifest of the cases."""

from typing import Any

__all__ = ["manifest", "service"]


def service(name: str, is_sharded: bool = False) -> dict[str, Any]:
    """Return a service as the operator writes it."""
    fields = {
        "name": name,
        "health_check_path": "/health",
        "max_connections": 130,
        "protocol": "h1",
        "tls": False,
    }
    return {**fields, "sharded": True, "warm_s": 3.0, "grants": "call"} if is_sharded else fields


def manifest(
    services: list[dict[str, Any]], kind: str, timeout_s: float, target_latency_s: float
) -> dict[str, Any]:
    """Return a manifest with a route `/NAME/` for each service."""
    routes = [
        {
            "name": f"r-{entry['name']}",
            "host": "orders.example",
            "prefix": f"/{entry['name']}/",
            "kind": kind,
            "timeout_s": timeout_s,
            "target_latency_s": target_latency_s,
            "priority": 1,
            "service": entry["name"],
            "max_attempts": 2,
        }
        for entry in services
    ]
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 67108864,
        "header_timeout_s": 3,
        "idle_timeout_s": 15,
    }
    return {"version": "r1", "routes": routes, "services": services, "limits": limits}
