"""Collect the events that the nodes of a scenario log."""

import logging

from nutmeglead.emulator.hosts import HOST


class CollectedEvents(logging.Handler):
    """Collect the events that are logged, with the address of the emulated host."""

    def __init__(self):
        super().__init__()
        self.lines = []

    def emit(self, record):
        if hasattr(record, "event"):
            self.lines.append((HOST.get(), record.event, record.fields))

    def fields_of(self, event, ips=None):
        """Return the fields of an event's lines from some hosts, or from all."""
        return [
            fields
            for ip, found, fields in self.lines
            if found is event and (ips is None or ip in ips)
        ]


def collect(context, name):
    """Return the events that a logger logs until the scenario ends."""
    collected = CollectedEvents()
    logger = logging.getLogger(name)
    context.add_cleanup(logger.setLevel, logger.level)
    context.add_cleanup(logger.removeHandler, collected)
    logger.setLevel("INFO")
    logger.addHandler(collected)
    return collected
