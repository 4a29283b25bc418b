"""Fetch Thrift structs from entry VMs over HTTP."""

import logging
from typing import TypeVar

from result import Err, Result

from nutmeglead._generated.peers.ttypes import NodeRow
from nutmeglead.core.codec import decode
from nutmeglead.core.errors import CodecError
from nutmeglead.core.events import Event, log_event
from nutmeglead.http.client import HttpFetcher
from nutmeglead.http.errors import HttpError
from nutmeglead.http.messages import RequestHead
from nutmeglead.peers.membership import Peer

__all__ = ["fetch_from_peer", "fetch_struct"]

logger = logging.getLogger(__name__)

T = TypeVar("T")

PEER_TIMEOUT_MS = 1_000


async def fetch_struct(
    fetcher: HttpFetcher, row: NodeRow, path: str, struct: type[T], timeout_ms: int
) -> Result[T, HttpError | CodecError]:
    """Return the struct that an entry VM serves at a path, or why the fetch failed."""
    head = RequestHead(b"GET", path.encode())
    fetched = await fetcher.fetch(row.ip, row.peer_port, head, b"", timeout_ms)
    if isinstance(fetched, Err):
        return fetched
    response, body = fetched.ok_value
    if response.status != 200:
        return Err(
            CodecError(struct.__name__, f"GET {path} was answered with status {response.status}")
        )
    return decode(struct, body)


async def fetch_from_peer(fetcher: HttpFetcher, peer: Peer, path: str, struct: type[T]) -> T | None:
    """Return the struct that a peer serves at a path, or None after logging the error."""
    fetched = await fetch_struct(fetcher, peer.row, path, struct, PEER_TIMEOUT_MS)
    if not isinstance(fetched, Err):
        return fetched.ok_value
    error = fetched.err_value
    if isinstance(error, CodecError):
        log_event(logger, Event.MESSAGE_REFUSED, sender=peer.node_id, error=str(error))
    else:
        logger.info("could not fetch %s from peer %s: %s", path, peer.node_id, error)
    return None
