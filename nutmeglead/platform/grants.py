"""Client for the calls by which servers are granted key ranges and release them."""

import json
from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from nutmeglead.core.errors import CodecError, PlatformError
from nutmeglead.core.ids import ServerId
from nutmeglead.forwarding.addresses import AddressHolder
from nutmeglead.forwarding.model import (
    NO_NOTICE,
    ServerIncarnation,
    ServerNotice,
    ServerRecord,
)
from nutmeglead.http.client import HttpFetcher
from nutmeglead.http.errors import ConnectFailed, RequestWithdrawn
from nutmeglead.http.messages import Headers, RequestHead, ResponseHead, header_value
from nutmeglead.platform.notices import decode_notice
from nutmeglead.platform.wire import (
    GRANT_TARGET,
    HANDOVER_HEADER,
    MISDIRECTED_STATUS,
    RELEASE_TARGET,
    SERVER_ID_HEADER,
    TARGET_SERVER_HEADER,
)

__all__ = [
    "AddressLost",
    "GrantClient",
    "GrantError",
    "GrantRefused",
    "KeyOrder",
    "OrderNotPermitted",
    "OrderUnanswered",
    "ServerUnreachable",
    "decode_order",
    "encode_order",
]


@dataclass(frozen=True)
class KeyOrder:
    """Body of a grant or of a release, for the keys from `first` to `last`, both included.

    A grant is valid for `hold_ms` and may carry the handover that the previous owner returned. A
    release has neither.
    """

    first: int
    last: int
    fence: int
    hold_ms: int | None = None
    handover: str | None = None


def encode_order(order: KeyOrder) -> bytes:
    """Return the JSON body of a grant or a release."""
    fields: dict[str, int | float | str] = {
        "from": order.first,
        # In this protocol `target` is the last key, not a server.
        "target": order.last,
        "fence": order.fence,
    }
    if order.hold_ms is not None:
        fields["hold_s"] = order.hold_ms / 1000
    if order.handover is not None:
        fields["handover"] = order.handover
    return json.dumps(fields).encode()


def decode_order(body: bytes) -> KeyOrder:
    """Decode the JSON body of an order; raise ValueError or KeyError if it is malformed."""
    fields = json.loads(body)
    hold_s = fields.get("hold_s")
    return KeyOrder(
        fields["from"],
        fields["target"],
        fields["fence"],
        None if hold_s is None else round(hold_s * 1000),
        fields.get("handover"),
    )


class GrantError(PlatformError):
    """Base class of the errors of grants and releases."""


@dataclass
class GrantRefused(GrantError):
    """The server answered a grant or a release with another status than 200."""

    server_id: ServerId
    status: int

    @property
    def is_stale(self) -> bool:
        """Return whether the server has seen a higher fence on one of the keys."""
        return self.status == 409

    @property
    def is_misdirected(self) -> bool:
        """Return whether another server, which has the address now, has refused the order."""
        return self.status == MISDIRECTED_STATUS

    def __str__(self) -> str:
        return f"server {self.server_id} refused the order with status {self.status}"


@dataclass
class ServerUnreachable(GrantError):
    """An order was not sent, because there was no connection to the server."""

    server_id: ServerId
    reason: str

    @property
    def is_refused(self) -> bool:
        """Return whether nothing listens at the server's address."""
        return "refused" in self.reason.lower()

    def __str__(self) -> str:
        return f"no order was sent to server {self.server_id}: {self.reason}"


@dataclass
class AddressLost(GrantError):
    """An order was not sent, because another server has the address of its server."""

    server_id: ServerId

    def __str__(self) -> str:
        return f"no order was sent to server {self.server_id}: another one has its address"


class OrderNotPermitted(GrantError):
    """An order was not sent, because this node may not send orders of its map."""

    def __str__(self) -> str:
        return "the order was not sent: the map is not confirmed to be the newest"


@dataclass
class OrderUnanswered(GrantError):
    """No answer to an order arrived; a server that has received it may carry it out later."""

    server_id: ServerId
    reason: str

    def __str__(self) -> str:
        return f"server {self.server_id} did not answer an order: {self.reason}"


def _ignore_notice(server: ServerIncarnation, notice: Result[ServerNotice, CodecError]) -> None:
    pass


@dataclass(frozen=True)
class GrantClient:
    """Sends grants, releases and health checks to servers.

    `on_notice` is called with what each answer states about its server.
    """

    fetcher: HttpFetcher
    on_notice: Callable[[ServerIncarnation, Result[ServerNotice, CodecError]], None] = (
        _ignore_notice
    )

    async def grant(
        self,
        server: ServerRecord,
        keys: tuple[int, int],
        fence: int,
        hold_ms: int,
        handover: str | None,
        timeout_ms: int,
        may_send: Callable[[], bool] = lambda: True,
    ) -> Result[None, GrantError]:
        """Grant a server the keys from the first to the last, both included, for `hold_ms`.

        Granting them again under the same fence renews the hold. `may_send` is asked right before
        the grant is written, which may be `timeout_ms` later.
        """
        order = KeyOrder(*keys, fence, hold_ms, handover)
        answered = await self._send_order(server, GRANT_TARGET, order, timeout_ms, may_send)
        return answered.map(lambda headers: None)

    async def release(
        self,
        server: ServerRecord,
        keys: tuple[int, int],
        fence: int,
        timeout_ms: int,
        may_send: Callable[[], bool] = lambda: True,
    ) -> Result[str | None, GrantError]:
        """Ask a server to release keys, from the first to the last, both included.

        The server answers once its work on the keys has ended. Returns the handover for the next
        owner, or None if the answer has none. Answers to orders bear no id, so a release uses a
        connection of its own: with a late copy of an earlier answer, the range would be granted to
        the next owner while this one still works on it.
        """
        order = KeyOrder(*keys, fence)
        answered = await self._send_order(
            server, RELEASE_TARGET, order, timeout_ms, may_send, own_connection=True
        )
        return answered.map(_find_handover)

    async def find_holder(self, server: ServerRecord, path: str, timeout_ms: int) -> AddressHolder:
        """Return which server answers a health check of this one at its address, with any status.

        A refusal of the check may name no server.
        """
        target = (TARGET_SERVER_HEADER, server.server_id.encode())
        head = RequestHead(b"GET", path.encode(), [target])
        fetched = await self.fetcher.fetch(server.ip, server.port, head, b"", timeout_ms)
        if isinstance(fetched, Err):
            return AddressHolder.UNKNOWN
        response, _ = fetched.ok_value
        stated_id = header_value(response.headers, SERVER_ID_HEADER)
        if stated_id == server.server_id.encode():
            self._pass_on_notice(server, response)
            return AddressHolder.ITSELF
        if stated_id is not None or response.status == MISDIRECTED_STATUS:
            return AddressHolder.ANOTHER
        return AddressHolder.UNKNOWN

    async def _send_order(
        self,
        server: ServerRecord,
        target: bytes,
        order: KeyOrder,
        timeout_ms: int,
        may_send: Callable[[], bool],
        own_connection: bool = False,
    ) -> Result[Headers, GrantError]:
        """Send an order and return the headers of the server's answer."""
        server_id = server.server_id
        # Another server may have the address by now. The header makes it refuse the order.
        headers = [
            (b"content-type", b"application/json"),
            (TARGET_SERVER_HEADER, server_id.encode()),
        ]
        head = RequestHead(b"POST", target, headers)
        fetched = await self.fetcher.fetch(
            server.ip,
            server.port,
            head,
            encode_order(order),
            timeout_ms,
            own_connection=own_connection,
            may_send=may_send,
        )
        if isinstance(fetched, Err):
            error = fetched.err_value
            if isinstance(error, RequestWithdrawn):
                return Err(OrderNotPermitted())
            if isinstance(error, ConnectFailed):
                return Err(ServerUnreachable(server_id, str(error)))
            return Err(OrderUnanswered(server_id, str(error)))
        response, _ = fetched.ok_value
        if response.status != MISDIRECTED_STATUS:
            self._pass_on_notice(server, response)
        if response.status != 200:
            return Err(GrantRefused(server_id, response.status))
        return Ok(response.headers)

    def _pass_on_notice(self, server: ServerRecord, response: ResponseHead) -> None:
        notice = decode_notice(response.status, response.headers)
        if isinstance(notice, Err) or notice.ok_value is not NO_NOTICE:
            self.on_notice(server.incarnation, notice)


def _find_handover(headers: Headers) -> str | None:
    value = header_value(headers, HANDOVER_HEADER)
    return None if value is None else value.decode("latin-1")
