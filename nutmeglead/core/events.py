"""Numbered log events, and their output as JSON lines or as text."""

import json
import logging
import sys
from enum import Enum
from typing import Protocol

__all__ = ["Event", "configure_logging", "log_event", "log_failure"]


class Event(Enum):
    """Every log event, with its number, level and message; docs/events.md lists the same ones."""

    PROGRAM_STARTED = (1001, logging.INFO, "the program is ready")
    PROGRAM_STOPPING = (1002, logging.INFO, "the program has begun its graceful shutdown")
    PROGRAM_STOPPED = (1003, logging.INFO, "the program has stopped")
    SETTINGS_REFUSED = (1004, logging.ERROR, "the settings are invalid; the program does not start")
    SETTINGS_RELOADED = (1006, logging.INFO, "the settings file was reloaded")
    SETTINGS_KEPT = (
        1007,
        logging.ERROR,
        "the changed settings are invalid; the previous ones stay in force",
    )
    LISTEN_FAILED = (1005, logging.ERROR, "a port of the settings could not be bound")
    LISTEN_DELAYED = (1009, logging.WARNING, "a port could not be bound yet; it is tried again")
    EVENT_LOOP_STALLED = (
        1008,
        logging.WARNING,
        "the event loop ran no timer for longer than the limit",
    )

    ROLE_TAKEN = (2001, logging.INFO, "this node became the acting controller of a service")
    ROLE_LOST = (
        2002,
        logging.WARNING,
        "another node replaced this one as the acting controller of a service",
    )
    TABLE_UNAVAILABLE = (
        2007,
        logging.WARNING,
        "the controller of a service could not write to the store",
    )
    TABLE_ANSWER_LOST = (
        2008,
        logging.WARNING,
        "a range map may or may not have been written; the write is retried",
    )
    TICKET_UNREADABLE = (
        2012,
        logging.ERROR,
        "a ticket row could not be read; its server or keys stay as they were",
    )
    TICKET_FOLLOWED = (2011, logging.INFO, "this node follows a newer ticket")
    GRANT_REFUSED = (2013, logging.WARNING, "a server refused to renew a grant")
    RANGE_MOVED = (2014, logging.INFO, "a range map that moves keys to another server was written")
    RANGE_GRANTED = (2015, logging.INFO, "a server accepted the grant of a key range")
    SERVER_LOST = (2016, logging.WARNING, "a server that owns keys does not answer")
    HOLDER_FENCED = (
        2017,
        logging.INFO,
        "a server that was lost can no longer take its earlier keys by a late grant",
    )

    REQUEST_FAILED = (3001, logging.WARNING, "a request got no complete answer from a server")
    MANIFEST_APPLIED = (3005, logging.INFO, "a newer manifest is in force on this node")
    MANIFEST_REFUSED = (
        3006,
        logging.ERROR,
        "a manifest could not be decoded; the previous one stays in force",
    )
    SERVER_CHANGED = (3007, logging.INFO, "the entry of a server in the store has changed")
    SERVER_REFUSED = (
        3008,
        logging.WARNING,
        "a server entry in the store could not be decoded and is ignored",
    )
    STORE_LOST = (3009, logging.WARNING, "calls of this node to the store fail")
    STORE_REGAINED = (3010, logging.INFO, "calls of this node to the store succeed again")
    REQUEST_ANSWERED = (3011, logging.INFO, "a request was answered from a server")
    LEAVING_ANNOUNCED = (
        3012,
        logging.INFO,
        "a server has stated in an answer that it is leaving",
    )
    BACKOFF_REQUESTED = (3013, logging.INFO, "a server wants no requests of this node for a time")
    NOTICE_REFUSED = (
        3014,
        logging.WARNING,
        "a header in which a server states its condition could not be decoded and is ignored",
    )
    MANIFEST_PARTS_REFUSED = (
        3015,
        logging.ERROR,
        "parts of a manifest could not be used; the rest of it is in force",
    )
    ADDRESS_REUSED = (3016, logging.WARNING, "another server answers at the address of a server")
    EVACUATION_BEGAN = (
        3020,
        logging.WARNING,
        "a failure domain is evacuated; its servers get no new work",
    )
    EVACUATION_ENDED = (
        3021,
        logging.INFO,
        "the evacuation of a failure domain has ended; its servers are used again",
    )
    SHARE_LIMITED = (
        3022,
        logging.INFO,
        "servers are overloaded; this node sends them its share of what they can answer",
    )
    SHARE_RELEASED = (3023, logging.INFO, "servers that were overloaded get all requests again")
    STORE_ERA_RISEN = (
        3030,
        logging.WARNING,
        "the store has returned from an older copy; its tables are read again",
    )
    TABLE_RESTORED = (
        3031,
        logging.INFO,
        "a table of the store was compared with the rows from before the store's return",
    )
    TICKET_LOST = (
        3032,
        logging.ERROR,
        "a ticket is missing in the restored store; this node still acts on it",
    )
    TICKET_REPLACED = (
        3033,
        logging.ERROR,
        "the number of a lost ticket was given to a ticket of other content",
    )

    PEER_SILENT = (4001, logging.WARNING, "heartbeats from an entry VM have stopped")
    PEER_SEEN = (4002, logging.INFO, "heartbeats arrive from an entry VM")
    NODE_REMOVED = (
        4003,
        logging.INFO,
        "the row of an entry VM that is gone was removed from the store",
    )
    MESSAGE_REFUSED = (
        4004,
        logging.WARNING,
        "a message could not be decoded or was not expected; it is ignored",
    )
    MAP_COPIED = (4006, logging.INFO, "a range map was copied from a peer")
    TABLE_COPIED = (4005, logging.INFO, "a table of the store was copied from a peer")
    PEER_FETCH_FAILED = (4007, logging.WARNING, "a copy could not be fetched from a peer")
    TABLE_SOURCE_CHANGED = (
        4008,
        logging.INFO,
        "this node reads the store's tables from another source than before",
    )

    MEMORY_SHORT = (5001, logging.WARNING, "requests are refused because memory is short")
    SLOW_READER_CLOSED = (
        5002,
        logging.WARNING,
        "a connection was closed because its caller did not read its answers",
    )
    CONNECTIONS_BOUNDED = (
        5003,
        logging.WARNING,
        "connections of callers were closed because too many are open",
    )
    ANSWERS_MISSING = (
        5004,
        logging.WARNING,
        "a connection of a caller was closed while requests on it had no answer",
    )
    HANDLER_FAILED = (
        5005,
        logging.ERROR,
        "an unexpected error ended the handling of a request",
    )
    CONNECTION_CLOSED = (
        5006,
        logging.INFO,
        "a stop has ended a connection of a caller",
    )

    def __init__(self, number: int, level: int, meaning: str) -> None:
        self.number = number
        self.level = level
        self.meaning = meaning


class LogStream(Protocol):
    """Interface of a stream that log lines are written to."""

    def write(self, text: str, /) -> int:
        """Write a log line and return the number of characters or bytes written."""
        ...

    def flush(self) -> None:
        """Send out all text that is still buffered."""
        ...


def log_event(logger: logging.Logger, event: Event, **fields: object) -> None:
    """Log an event, with `fields` as the values that its line shows beside the message."""
    if logger.isEnabledFor(event.level):
        logger.log(event.level, event.meaning, extra={"event": event, "fields": fields})


def log_failure(
    logger: logging.Logger, event: Event, error: BaseException, **fields: object
) -> None:
    """Log an event with the traceback of the error behind it."""
    extra = {"event": event, "fields": {**fields, "error": repr(error)}}
    logger.log(event.level, event.meaning, extra=extra, exc_info=error)


class _JsonFormatter(logging.Formatter):
    """Formats a record as one JSON object, with the event's fields at its top level."""

    def format(self, record: logging.LogRecord) -> str:
        line: dict[str, object] = {
            "time_s": round(record.created, 3),
            "level": record.levelname,
            "logger": record.name,
            "message": record.getMessage(),
        }
        event = getattr(record, "event", None)
        if isinstance(event, Event):
            line["event"] = event.number
            line["name"] = event.name
        line.update(getattr(record, "fields", {}))
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


class _TextFormatter(logging.Formatter):
    """Formats a record as a line of text that ends with the event's fields as key=value."""

    def format(self, record: logging.LogRecord) -> str:
        event = getattr(record, "event", None)
        number = event.number if isinstance(event, Event) else "-"
        fields = " ".join(f"{k}={v}" for k, v in getattr(record, "fields", {}).items())
        text = f"{record.levelname} {number} {record.name}: {record.getMessage()} {fields}".rstrip()
        if record.exc_info:
            text += "\n" + self.formatException(record.exc_info)
        return text


def configure_logging(level: str, log_format: str, stream: LogStream = sys.stderr) -> None:
    """Write all log records to one stream, in place of the handlers of the root logger.

    `log_format` is "json" for JSON lines; any other format gives lines of text.
    """
    handler = logging.StreamHandler(stream)
    handler.setFormatter(_JsonFormatter() if log_format == "json" else _TextFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
