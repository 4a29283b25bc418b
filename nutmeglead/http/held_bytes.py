"""Count the bytes that a process holds for its connections, and bound them by its memory."""

from __future__ import annotations

import logging
from collections.abc import Callable

from nutmeglead.core.clock import Clock
from nutmeglead.core.events import Event, log_event
from nutmeglead.http.errors import MalformedMessage, MemoryShort
from nutmeglead.http.messages import Body
from nutmeglead.http.turns import Turns

__all__ = ["SMALL_BYTES", "HeldBytes", "IncomingBody"]

logger = logging.getLogger(__name__)

# Used without a limit in the settings.
DEFAULT_MEMORY_BYTES = 300_000_000
# Share of the memory for bodies and answers above SMALL_BYTES, and for all bytes together. The rest
# is for the process itself, copies in transit and gaps in the heap. Two bodies of 64 MiB fit into
# the first share of 300 MB.
LARGE_SHARE = 0.45
TOTAL_SHARE = 0.5
# A body is counted in steps of this size; up to it, a request is an ordinary one.
SMALL_BYTES = 65_536
# An unfinished body that has got nothing for this time is given up when its room is wanted.
STALLED_BODY_MS = 500
# Above this share of the limit, callers that read nothing are given less time.
SHORT_SHARE = 0.75
# Share of the limit of large bodies up to which answers are read whole before they are passed on,
# and are held for callers that read slowly. Beyond it they are passed on as their callers read.
ANSWER_SHARE = 0.75
AHEAD_SHARE = 0.5
# Time after which a refused caller may find room: unfinished bodies end after a few seconds.
RETRY_AFTER_MS = 1_000
# Shortest time between two log lines on refusals.
LOG_INTERVAL_MS = 1_000


class HeldBytes:
    """Own the bytes of one process over all of its connections and in both directions.

    `refused_count` counts the requests that were refused for lack of memory, and
    `slow_reader_count` the connections that were closed because their callers read nothing.
    """

    def __init__(self, memory_bytes: int = DEFAULT_MEMORY_BYTES) -> None:
        self.limit_bytes = int(memory_bytes * TOTAL_SHARE)
        self.large_limit_bytes = int(memory_bytes * LARGE_SHARE)
        self.total_bytes = 0
        self.refused_count = 0
        self.slow_reader_count = 0
        self._unfinished: set[IncomingBody] = set()
        self.turns = Turns()
        self._logged_ms: int | None = None

    @property
    def is_short(self) -> bool:
        """Return whether little room is left."""
        return self.total_bytes > self.limit_bytes * SHORT_SHARE

    def try_add(self, size_bytes: int, is_large: bool) -> bool:
        """Count bytes and return True, or return False if there is no room for them."""
        limit_bytes = self.large_limit_bytes if is_large else self.limit_bytes
        if self.total_bytes + size_bytes > limit_bytes:
            return False
        self.total_bytes += size_bytes
        return True

    def hold(self, size_bytes: int) -> None:
        """Count bytes, or raise MemoryShort if there is no room for them."""
        if not self.try_add(size_bytes, size_bytes > SMALL_BYTES):
            raise MemoryShort(RETRY_AFTER_MS)

    def try_add_answer(self, size_bytes: int, is_large: bool) -> bool:
        """Count bytes of an answer and return True, or False if there is no room for them."""
        if is_large and self.total_bytes > self.large_limit_bytes * ANSWER_SHARE:
            return False
        return self.try_add(size_bytes, is_large)

    def add(self, size_bytes: int) -> None:
        """Count bytes that are held already; a negative number gives them back."""
        self.total_bytes += size_bytes

    @property
    def has_room_ahead(self) -> bool:
        """Return whether answers may be held for callers that read them slowly."""
        return self.total_bytes <= self.large_limit_bytes * AHEAD_SHARE

    def begin_body(
        self, clock: Clock, limit_bytes: int, on_given_up: Callable[[], None]
    ) -> IncomingBody:
        """Return the empty body of a request that may have up to `limit_bytes`."""
        body = IncomingBody(self, clock, limit_bytes, on_given_up)
        self._unfinished.add(body)
        return body

    def end_body(self, body: IncomingBody) -> None:
        """Forget a body that is complete or given up."""
        self._unfinished.discard(body)

    def make_room(self, size_bytes: int, is_large: bool, now_ms: int) -> bool:
        """Give up stalled bodies, longest first, until the bytes fit; return whether they do."""
        limit_bytes = self.large_limit_bytes if is_large else self.limit_bytes
        stalled = [body for body in self._unfinished if body.is_stalled(now_ms)]
        for body in sorted(stalled, key=lambda body: body.progressed_ms):
            if self.total_bytes + size_bytes <= limit_bytes:
                break
            body.give_up()
        return self.total_bytes + size_bytes <= limit_bytes

    def record_refusal(self, peer_ip: str, now_ms: int) -> None:
        """Count a request that was refused for lack of memory; log at a bounded rate."""
        self.refused_count += 1
        if self._logged_ms is not None and now_ms - self._logged_ms < LOG_INTERVAL_MS:
            return
        self._logged_ms = now_ms
        log_event(
            logger,
            Event.MEMORY_SHORT,
            caller=peer_ip,
            held_bytes=self.total_bytes,
            refused=self.refused_count,
        )

    def record_slow_reader(self, peer_ip: str, unsent_bytes: int) -> None:
        """Count and log a connection that was closed because its caller reads nothing."""
        self.slow_reader_count += 1
        log_event(logger, Event.SLOW_READER_CLOSED, caller=peer_ip, unsent_bytes=unsent_bytes)


class IncomingBody:
    """Body of a request that is being received; it is kept once and counted as held bytes."""

    def __init__(
        self,
        held: HeldBytes,
        clock: Clock,
        limit_bytes: int,
        on_given_up: Callable[[], None],
    ) -> None:
        """`on_given_up` is called when the body is dropped for others."""
        self.progressed_ms = clock.now_ms()
        self.size_bytes = 0
        self._held = held
        self._clock = clock
        self._limit_bytes = limit_bytes
        self._data = bytearray()
        self._counted_bytes = 0
        self._on_given_up = on_given_up
        self.is_given_up = False
        # Whether bytes that have arrived wait for a turn of their connection.
        self.is_queued = False

    def is_stalled(self, now_ms: int) -> bool:
        """Return whether the caller has sent nothing for `STALLED_BODY_MS`."""
        return not self.is_queued and now_ms - self.progressed_ms >= STALLED_BODY_MS

    def announce(self, length_bytes: int) -> None:
        """Reserve the announced length; raise MalformedMessage or MemoryShort if it cannot be."""
        self._check_size(length_bytes)
        self._reserve(length_bytes)

    def append(self, data: bytes | bytearray) -> None:
        """Add data that has arrived; raise MalformedMessage or MemoryShort if it is too much."""
        self.check()
        self.size_bytes += len(data)
        if self.size_bytes > self._counted_bytes:
            self._check_size(self.size_bytes)
            # Whole steps, as a body may arrive byte by byte.
            steps = -(-self.size_bytes // SMALL_BYTES)
            self._reserve(min(steps * SMALL_BYTES, max(self.size_bytes, self._limit_bytes)))
        self._data += data

    def record_progress(self) -> None:
        """Record that bytes of the body have arrived."""
        self.progressed_ms = self._clock.now_ms()

    def check(self) -> None:
        """Raise MemoryShort if the body was given up."""
        if self.is_given_up:
            raise MemoryShort(RETRY_AFTER_MS)

    def finish(self) -> tuple[Body, int]:
        """Return the whole body and how many bytes are counted for it, which the caller returns."""
        self._held.end_body(self)
        counted_bytes, self._counted_bytes = self._counted_bytes, 0
        # A small body is copied, since a bytearray may have grown beyond its content.
        return bytes(self._data) if self.size_bytes <= SMALL_BYTES else self._data, counted_bytes

    def discard(self) -> None:
        """Drop what has arrived and give its bytes back, unless `finish` has returned them."""
        self._held.end_body(self)
        self._held.add(-self._counted_bytes)
        self._counted_bytes = 0
        self._data = bytearray()

    def give_up(self) -> None:
        """Drop the body, so that its request is refused."""
        self.is_given_up = True
        self.discard()
        self._on_given_up()

    def _check_size(self, size_bytes: int) -> None:
        limit_bytes = min(self._limit_bytes, self._held.large_limit_bytes)
        if size_bytes > limit_bytes:
            raise MalformedMessage(f"the body exceeds {limit_bytes} bytes", 413)

    def _reserve(self, size_bytes: int) -> None:
        """Count the body as one of `size_bytes`; raise MemoryShort if there is no room for it."""
        added_bytes = size_bytes - self._counted_bytes
        is_large = size_bytes > SMALL_BYTES
        if not self._held.try_add(added_bytes, is_large):
            # Its own bytes have just arrived, so the body does not give itself up.
            self.record_progress()
            if not self._held.make_room(added_bytes, is_large, self.progressed_ms):
                raise MemoryShort(RETRY_AFTER_MS)
            self._held.add(added_bytes)
        self._counted_bytes = size_bytes
