"""Log numbered events as JSON lines or text."""

import json
import logging
import sys
from enum import Enum
from typing import Protocol

__all__ = ["Event", "configure_logging", "log_event"]


class Event(Enum):
    """List every log event: number, level and meaning. docs/events.md is the catalogue."""

    PROGRAM_STARTED = (1001, logging.INFO, "the program is ready")
    PROGRAM_STOPPING = (1002, logging.INFO, "the program has begun its graceful shutdown")
    PROGRAM_STOPPED = (1003, logging.INFO, "the program has stopped")
    SETTINGS_REFUSED = (1004, logging.ERROR, "the settings have faults; the program does not start")
    SETTINGS_RELOADED = (1006, logging.INFO, "the settings file was read again")
    SETTINGS_KEPT = (
        1007,
        logging.ERROR,
        "changed settings have faults; the old ones stay in force",
    )
    LISTEN_FAILED = (1005, logging.ERROR, "a port of the settings could not be bound")

    ROLE_TAKEN = (2001, logging.INFO, "this controller now acts for a service")
    ROLE_LOST = (2002, logging.WARNING, "another controller acts for a service")
    TABLE_UNAVAILABLE = (2007, logging.WARNING, "the table service did not answer")
    TABLE_ANSWER_LOST = (2008, logging.WARNING, "a table write has an unknown result")
    TICKET_UNREADABLE = (
        2012,
        logging.ERROR,
        "a ticket row cannot be read; its item stays as it was",
    )
    TICKET_FOLLOWED = (2011, logging.INFO, "this node follows a newer ticket")
    GRANT_REFUSED = (2013, logging.WARNING, "a server refused to renew a grant")
    RANGE_MOVED = (2014, logging.INFO, "a range map that gives keys to another server was written")
    RANGE_GRANTED = (2015, logging.INFO, "a server has the grant of a range")
    SERVER_LOST = (2016, logging.WARNING, "a server that owns keys does not answer")

    REQUEST_FAILED = (3001, logging.WARNING, "a request got an answer of the router's own")
    MANIFEST_APPLIED = (3005, logging.INFO, "a newer manifest is in force on this node")
    MANIFEST_REFUSED = (3006, logging.ERROR, "a manifest cannot be read; the last one holds")
    SERVER_CHANGED = (3007, logging.INFO, "the store's entry of a server has changed")
    SERVER_REFUSED = (3008, logging.WARNING, "a server entry cannot be read; it names no server")
    STORE_LOST = (3009, logging.WARNING, "the store does not answer this node")
    STORE_REGAINED = (3010, logging.INFO, "the store answers this node again")
    REQUEST_ANSWERED = (3011, logging.INFO, "a request was answered from a server")

    PEER_SILENT = (4001, logging.WARNING, "an entry VM sends no heartbeats")
    PEER_SEEN = (4002, logging.INFO, "an entry VM sends heartbeats")
    NODE_REMOVED = (4003, logging.INFO, "the row of an entry VM that is gone was removed")
    MESSAGE_REFUSED = (4004, logging.WARNING, "a message could not be decoded or was not expected")
    MAP_COPIED = (4006, logging.INFO, "a range map was taken from a peer")
    TABLE_COPIED = (4005, logging.INFO, "a table of the store was taken from a peer")

    def __init__(self, number: int, level: int, meaning: str) -> None:
        self.number = number
        self.level = level
        self.meaning = meaning


class LogStream(Protocol):
    """Take log lines."""

    def write(self, text: str, /) -> int:
        """Write text."""
        ...

    def flush(self) -> None:
        """Send what was written."""
        ...


def log_event(logger: logging.Logger, event: Event, **fields: object) -> None:
    """Log an event with its fields."""
    if logger.isEnabledFor(event.level):
        logger.log(event.level, event.meaning, extra={"event": event, "fields": fields})


class _JsonFormatter(logging.Formatter):
    def format(self, record: logging.LogRecord) -> str:
        entry: dict[str, object] = {
            "time_s": round(record.created, 3),
            "level": record.levelname,
            "logger": record.name,
            "message": record.getMessage(),
        }
        event = getattr(record, "event", None)
        if isinstance(event, Event):
            entry["event"] = event.number
            entry["name"] = event.name
        entry.update(getattr(record, "fields", {}))
        if record.exc_info:
            entry["exception"] = self.formatException(record.exc_info)
        return json.dumps(entry, default=str)


class _TextFormatter(logging.Formatter):
    def format(self, record: logging.LogRecord) -> str:
        event = getattr(record, "event", None)
        number = event.number if isinstance(event, Event) else "-"
        fields = " ".join(f"{k}={v}" for k, v in getattr(record, "fields", {}).items())
        text = f"{record.levelname} {number} {record.name}: {record.getMessage()} {fields}".rstrip()
        if record.exc_info:
            text += "\n" + self.formatException(record.exc_info)
        return text


def configure_logging(level: str, log_format: str, stream: LogStream = sys.stderr) -> None:
    """Send all log records to one stream."""
    handler = logging.StreamHandler(stream)
    handler.setFormatter(_JsonFormatter() if log_format == "json" else _TextFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
