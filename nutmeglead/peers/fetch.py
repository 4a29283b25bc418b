"""Fetch Thrift structs from entry VMs over HTTP."""

import logging
from typing import Generic, NamedTuple, TypeVar

from result import Err, Ok, Result

from nutmeglead._generated.peers.ttypes import NodeRow
from nutmeglead.core.clock import Clock
from nutmeglead.core.codec import decode
from nutmeglead.core.compression import decompress
from nutmeglead.core.errors import CodecError
from nutmeglead.core.events import Event, log_event
from nutmeglead.http.client import HttpFetcher, ProgressLimits
from nutmeglead.http.errors import HttpError, TimedOut
from nutmeglead.http.messages import RequestHead, header_value
from nutmeglead.peers.peer import Peer

__all__ = [
    "COMPRESSED_ENCODING",
    "PEER_TIMEOUT_MS",
    "Fetched",
    "fetch_and_log",
    "fetch_from_peer",
    "fetch_struct",
]

logger = logging.getLogger(__name__)

T = TypeVar("T")

# A peer that sends nothing for this time is lost or cut off.
PEER_TIMEOUT_MS = 1_000
PEER_PROGRESS = ProgressLimits(silence_ms=PEER_TIMEOUT_MS, total_ms=10_000)
# Value of the accept-encoding and content-encoding headers between entry VMs.
COMPRESSED_ENCODING = b"zstd"


class Fetched(NamedTuple, Generic[T]):
    """A struct that a peer has sent, with the size of the response body."""

    message: T
    size_bytes: int


async def fetch_struct(
    fetcher: HttpFetcher, row: NodeRow, path: str, struct: type[T], timeout_ms: int
) -> Result[Fetched[T], HttpError | CodecError]:
    """Return the struct that an entry VM serves at a path, or why the fetch failed.

    `timeout_ms` limits the time until a part of it arrives.
    """
    head = RequestHead(b"GET", path.encode(), [(b"accept-encoding", COMPRESSED_ENCODING)])
    fetched = await fetcher.fetch(row.ip, row.peer_port, head, b"", timeout_ms, PEER_PROGRESS)
    if isinstance(fetched, Err):
        return fetched
    response, body = fetched.ok_value
    if response.status != 200:
        return Err(
            CodecError(struct.__name__, f"GET {path} was answered with status {response.status}")
        )
    is_compressed = header_value(response.headers, b"content-encoding") == COMPRESSED_ENCODING
    content = decompress(body) if is_compressed else Ok(body)
    return content.and_then(lambda data: decode(struct, data)).map(
        lambda message: Fetched(message, len(body))
    )


async def fetch_from_peer(
    fetcher: HttpFetcher, peer: Peer, path: str, struct: type[T], clock: Clock
) -> Fetched[T] | None:
    """Return the struct that a peer serves at a path, or None after logging the error."""
    return (await fetch_and_log(fetcher, peer, path, struct, clock)).ok()


async def fetch_and_log(
    fetcher: HttpFetcher, peer: Peer, path: str, struct: type[T], clock: Clock
) -> Result[Fetched[T], HttpError | CodecError]:
    """Return the struct that a peer serves at a path, or the error after logging it."""
    started_ms = clock.now_ms()
    fetched = await fetch_struct(fetcher, peer.row, path, struct, PEER_TIMEOUT_MS)
    if not isinstance(fetched, Err):
        return fetched
    error = fetched.err_value
    if isinstance(error, CodecError):
        log_event(logger, Event.MESSAGE_REFUSED, sender=peer.node_id, error=str(error))
        return fetched
    log_event(
        logger,
        Event.PEER_FETCH_FAILED,
        path=path,
        peer=peer.node_id,
        duration_ms=clock.now_ms() - started_ms,
        received_bytes=error.received_bytes if isinstance(error, TimedOut) else None,
        error=str(error),
    )
    return fetched
