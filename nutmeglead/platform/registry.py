"""Decode the entries that servers register in the store."""

import json

from result import Err, Ok, Result

from nutmeglead.core.errors import CodecError
from nutmeglead.core.ids import FailureDomainName, ServerId, ServiceName
from nutmeglead.forwarding.model import ServerIncarnation, ServerRecord, ServerState
from nutmeglead.platform.addresses import parse_address
from nutmeglead.platform.fields import (
    FieldError,
    parse_integer,
    parse_object,
    parse_seconds_as_ms,
    parse_text,
)

__all__ = ["decode_server", "encode_server"]

_STATES = {"ready": ServerState.READY, "draining": ServerState.LEAVING}


def decode_server(server_id: str, data: bytes) -> Result[ServerRecord, CodecError]:
    """Return a server's record; an entry of another writer has faults and names no server."""
    parsed = parse_object("a server entry", data)
    if isinstance(parsed, Err):
        return parsed
    fields = parsed.ok_value
    try:
        state = _STATES.get(parse_text(fields, "state"))
        if state is None:
            raise FieldError("state", f"one of {', '.join(_STATES)}", fields["state"])
        ip, port = parse_address(parse_text(fields, "address"))
        return Ok(
            ServerRecord(
                # `born` is the start of this incarnation in Unix ms.
                ServerIncarnation(ServerId(server_id), parse_integer(fields, "born")),
                ServiceName(parse_text(fields, "service")),
                ip,
                port,
                FailureDomainName(parse_text(fields, "zone")),
                max(1, parse_integer(fields, "slots")),
                state,
                # `warmup_left_s` counts from the last write, which need not be recent.
                parse_seconds_as_ms(fields, "warmup_left_s", 0),
            )
        )
    except ValueError as error:
        return Err(CodecError("a server entry", str(error)))


def encode_server(record: ServerRecord) -> bytes:
    """Return an entry as the server writes it, for emulated deployments."""
    states = {state: name for name, state in _STATES.items()}
    fields = {
        "service": record.service,
        "address": f"{record.ip}:{record.port}",
        "zone": record.failure_domain,
        "version": "v1",
        "slots": record.slots,
        "state": states[record.state],
        "warmup_left_s": record.warmup_left_ms / 1000,
        "seq": 1,
        "born": record.incarnation.started_ms,
    }
    return json.dumps(fields).encode()
