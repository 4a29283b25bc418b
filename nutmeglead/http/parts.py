"""Divide large bodies into the parts in which they are written."""

from collections.abc import Iterator
from typing import cast

import h11

from nutmeglead.http.messages import Body

__all__ = ["WRITE_PART_BYTES", "body_events"]

# A larger body is written in parts of this size, each after the one before is sent, since every
# layer below keeps a copy of what it has not sent.
WRITE_PART_BYTES = 65_536


def body_events(body: Body) -> Iterator[h11.Data]:
    """Yield the events that send a body in parts, without copying it."""
    view = memoryview(body)
    for start in range(0, len(view), WRITE_PART_BYTES):
        # h11 takes any object with the buffer interface, although it declares bytes.
        yield h11.Data(data=cast(bytes, view[start : start + WRITE_PART_BYTES]))
