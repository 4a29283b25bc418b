"""Select the log lines that explain a request or a key."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from nutmeglead.explain.lines import LogLine

__all__ = ["explain_key", "explain_request"]

# State changes from this long before the first log line of a request may explain it.
CONTEXT_WINDOW_S = 5.0
# Events about a range of keys, with the fields `first` and `last`.
RANGE_EVENTS = frozenset(("RANGE_MOVED", "RANGE_GRANTED", "GRANT_REFUSED"))
# Events about the programs, manifest, peers, role and store of a node, which may change how it
# handles requests.
NODE_STATE_EVENTS = frozenset(
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
    """Return the log lines of a request and the state changes that may explain them, by time.

    The state changes are those between `CONTEXT_WINDOW_S` before the request's first line and its
    last line: on all nodes, moves, grants and refused grants of ranges with its key; on the nodes
    that logged the request, changes of the servers that it was sent to and of the node itself.
    The list is empty if no line is about the request.
    """
    all_lines = sorted(lines, key=lambda line: line.time_s)
    request_lines = [line for line in all_lines if line.fields.get("request") == request_id]
    if not request_lines:
        return []
    start_s, end_s = request_lines[0].time_s - CONTEXT_WINDOW_S, request_lines[-1].time_s
    keys = {line.fields.get("key") for line in request_lines} - {None}
    servers = {server for line in request_lines for server in _attempted_servers(line)}
    nodes = {line.node for line in request_lines}
    context = [
        line
        for line in all_lines
        if start_s <= line.time_s <= end_s
        and line not in request_lines
        and (_covers_any_key(line, keys) or _changes_state_on(line, servers, nodes))
    ]
    return sorted(request_lines + context, key=lambda line: line.time_s)


def explain_key(lines: Iterable[LogLine], key: int) -> list[LogLine]:
    """Return the log lines that explain what happened to a key, by time.

    These are the moves, grants and refused grants of ranges with the key, its failed requests, and
    every change of a service's acting node.
    """
    role_events = ("ROLE_TAKEN", "ROLE_LOST")
    return sorted(
        (
            line
            for line in lines
            if _covers_any_key(line, {key})
            or line.name in role_events
            or (line.name == "REQUEST_FAILED" and line.fields.get("key") == key)
        ),
        key=lambda line: line.time_s,
    )


def _attempted_servers(line: LogLine) -> Sequence[str]:
    """Return the server ids of the attempts, each logged as `server_id:status` or with an error."""
    attempts = line.fields.get("attempts") or []
    return [str(attempt).partition(":")[0] for attempt in attempts]


def _covers_any_key(line: LogLine, keys: set[object]) -> bool:
    """Return whether the line is an event about a range that includes one of the keys."""
    if line.name not in RANGE_EVENTS:
        return False
    # Without its fields the range is empty and includes no key.
    first, last = line.fields.get("first", 1), line.fields.get("last", 0)
    return any(isinstance(key, int) and first <= key <= last for key in keys)


def _changes_state_on(line: LogLine, servers: set[str], nodes: set[str]) -> bool:
    """Return whether one of the nodes logged a change of its own state or of one of the servers."""
    if line.name == "SERVER_CHANGED":
        return line.fields.get("server") in servers and line.node in nodes
    return line.name in NODE_STATE_EVENTS and line.node in nodes
