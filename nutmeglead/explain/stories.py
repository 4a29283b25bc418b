"""Choose the log lines that explain a request or a key."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from nutmeglead.explain.lines import LogLine

__all__ = ["explain_key", "explain_request"]

# What a node believed may have changed this long before a request ended.
CONTEXT_S = 5.0
RANGE_EVENTS = frozenset(("RANGE_MOVED", "RANGE_GRANTED", "GRANT_REFUSED"))
BELIEF_EVENTS = frozenset(
    (
        "MANIFEST_APPLIED",
        "MANIFEST_REFUSED",
        "PEER_SILENT",
        "PROGRAM_STARTED",
        "PROGRAM_STOPPING",
        "ROLE_LOST",
        "ROLE_TAKEN",
        "STORE_LOST",
        "STORE_REGAINED",
        "TABLE_COPIED",
        "TABLE_UNAVAILABLE",
    )
)


def explain_request(lines: Iterable[LogLine], request_id: str) -> list[LogLine]:
    """Return a request's lines, and what changed shortly before them around its key and servers."""
    all_lines = sorted(lines, key=lambda line: line.time_s)
    own = [line for line in all_lines if line.fields.get("request") == request_id]
    if not own:
        return []
    start_s, end_s = own[0].time_s - CONTEXT_S, own[-1].time_s
    keys = {line.fields.get("key") for line in own} - {None}
    servers = {server for line in own for server in _servers(line)}
    nodes = {line.node for line in own}
    context = [
        line
        for line in all_lines
        if start_s <= line.time_s <= end_s
        and line not in own
        and (_touches_keys(line, keys) or _touches(line, servers, nodes))
    ]
    return sorted(own + context, key=lambda line: line.time_s)


def explain_key(lines: Iterable[LogLine], key: int) -> list[LogLine]:
    """Return the moves and grants of a key, the failed requests for it and who acted."""
    acted = ("ROLE_TAKEN", "ROLE_LOST")
    return sorted(
        (
            line
            for line in lines
            if _touches_keys(line, {key})
            or line.name in acted
            or (line.name == "REQUEST_FAILED" and line.fields.get("key") == key)
        ),
        key=lambda line: line.time_s,
    )


def _servers(line: LogLine) -> Sequence[str]:
    attempts = line.fields.get("attempts") or []
    return [str(attempt).partition(":")[0] for attempt in attempts]


def _touches_keys(line: LogLine, keys: set[object]) -> bool:
    if line.name not in RANGE_EVENTS:
        return False
    first, last = line.fields.get("first", 1), line.fields.get("last", 0)
    return any(isinstance(key, int) and first <= key <= last for key in keys)


def _touches(line: LogLine, servers: set[str], nodes: set[str]) -> bool:
    if line.name == "SERVER_CHANGED":
        return line.fields.get("server") in servers and line.node in nodes
    return line.name in BELIEF_EVENTS and line.node in nodes
