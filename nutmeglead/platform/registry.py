"""Decode the entry with which a server registers itself in the store."""

import json

from result import Err, Ok, Result

from nutmeglead.core.errors import CodecError
from nutmeglead.core.ids import FailureDomainName, ServerId, ServiceName
from nutmeglead.forwarding.model import ServerIncarnation, ServerRecord, ServerState
from nutmeglead.platform.addresses import parse_address
from nutmeglead.platform.fields import (
    FieldError,
    is_printable_name,
    parse_integer,
    parse_name,
    parse_object,
    parse_seconds_as_ms,
    parse_text,
)

__all__ = ["decode_server", "encode_server"]

_STATES_BY_NAME = {"ready": ServerState.READY, "draining": ServerState.LEAVING}


def decode_server(server_id: str, data: bytes) -> Result[ServerRecord, CodecError]:
    """Return the record of a server, or a CodecError if its entry is malformed."""
    parsed = parse_object("a server entry", data)
    if isinstance(parsed, Err):
        return parsed
    fields = parsed.ok_value
    try:
        if not is_printable_name(server_id):
            raise FieldError("id", "printable text without spaces at its ends", server_id)
        state = _STATES_BY_NAME.get(parse_text(fields, "state"))
        if state is None:
            raise FieldError("state", f"one of {', '.join(_STATES_BY_NAME)}", fields["state"])
        ip, port = parse_address(parse_text(fields, "address"))
        return Ok(
            ServerRecord(
                # `born` is the start time of this incarnation, in ms since the Unix epoch.
                ServerIncarnation(ServerId(server_id), parse_integer(fields, "born")),
                ServiceName(parse_name(fields, "service")),
                ip,
                port,
                FailureDomainName(parse_name(fields, "zone")),
                max(1, parse_integer(fields, "slots")),
                state,
                # `warmup_left_s` counts from the last write of the entry, perhaps long ago.
                parse_seconds_as_ms(fields, "warmup_left_s", 0),
            )
        )
    except ValueError as error:
        return Err(CodecError("a server entry", str(error)))


def encode_server(record: ServerRecord) -> bytes:
    """Return the JSON that `decode_server` reads, for emulated deployments."""
    state_names = {state: name for name, state in _STATES_BY_NAME.items()}
    fields = {
        "service": record.service,
        "address": f"{record.ip}:{record.port}",
        "zone": record.failure_domain,
        "version": "v1",
        "slots": record.slots,
        "state": state_names[record.state],
        "warmup_left_s": record.warmup_left_ms / 1000,
        "seq": 1,
        "born": record.incarnation.started_ms,
    }
    return json.dumps(fields).encode()
