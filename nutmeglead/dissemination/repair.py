"""Compare copies with neighbours and fetch the pages in which they are ahead."""

from collections.abc import Mapping, Sequence

from nutmeglead._generated.common.ttypes import Address, Sender
from nutmeglead._generated.messages.ttypes import (
    DigestReply,
    DigestRequest,
    MessageType,
    PagesReply,
    PagesRequest,
    PageVersion,
    PlacementPage,
)
from nutmeglead.core.ids import ServiceName
from nutmeglead.dissemination.digests import newer_pages, version_list
from nutmeglead.dissemination.page_ids import PageId, page_id
from nutmeglead.dissemination.sends import Compare, Fetch, Send
from nutmeglead.dissemination.service_copy import ServiceCopy

__all__ = ["Repairer"]

# A whole page is about 1.5 kB and at most 40 kB, so that a reply stays below the frame limit.
PAGES_PER_FETCH = 64
# Several round trips between regions; a neighbour that is slower is replaced by another one.
_TIMEOUT_MS = 1000
# An age that is not known, in the i64 field of a message.
_UNKNOWN_AGE_MS = -1


class Repairer:
    """Ask and answer DIGEST and PAGES calls over the copies of all services."""

    def __init__(self, sender: Sender, copies: Mapping[ServiceName, ServiceCopy]) -> None:
        self._sender = sender
        self._copies = copies
        # Pages that are being fetched, with the time after which they may be asked for again.
        self._fetching: dict[tuple[str, PageId], int] = {}

    # ---- answers ----

    def answer_digest(self, request: DigestRequest, now_ms: int) -> DigestReply:
        """Return the own digest, and all versions if it differs."""
        copy = self._copies.get(ServiceName(request.service_name))
        digest = copy.store.digest if copy else 0
        differs = copy is not None and digest != request.digest
        return DigestReply(
            sender=self._sender,
            service_name=request.service_name,
            digest=digest,
            versions=version_list(copy.store.versions()) if copy and differs else [],
            age_ms=_age(copy, now_ms),
        )

    def answer_pages(self, request: PagesRequest, now_ms: int) -> PagesReply:
        """Return the named pages that are newer here than the asker's."""
        copy = self._copies.get(ServiceName(request.service_name))
        pages: list[PlacementPage] = []
        for entry in request.known[:PAGES_PER_FETCH] if copy else []:
            if copy is not None and copy.store.version(page_id(entry)) > entry.version:
                page = copy.store.get(page_id(entry))
                pages += [page] if page else []
        return PagesReply(self._sender, pages, _age(copy, now_ms))

    # ---- questions ----

    def compare(
        self, service_name: ServiceName, node_id: str, address: Address, now_ms: int
    ) -> Send:
        """Return the call that compares a service's digest with a neighbour's."""
        digest = self._copies[service_name].store.digest
        message = DigestRequest(self._sender, service_name, digest)
        context = Compare(service_name, now_ms)
        return Send(
            node_id, address, MessageType.DIGEST, message, DigestReply, _TIMEOUT_MS, context
        )

    def settle_compare(self, send: Send, reply: DigestReply, now_ms: int) -> list[Send]:
        """Fetch the pages in which the neighbour is ahead, or take over how fresh it is."""
        context = send.context
        assert isinstance(context, Compare)
        copy = self._copies[context.service_name]
        confirmed_ms = None if reply.age_ms < 0 else float(context.sent_ms - reply.age_ms)
        wanted = newer_pages(copy.store.versions(), reply.versions)
        if wanted:
            return self.fetch(
                context.service_name, send.node_id, send.address, wanted, now_ms, confirmed_ms
            )
        # This copy holds at least what the neighbour has, so it is at least as fresh.
        if confirmed_ms is not None:
            copy.confirm(confirmed_ms)
        return []

    def fetch(
        self,
        service_name: ServiceName,
        node_id: str,
        address: Address,
        wanted: Sequence[PageVersion],
        now_ms: int,
        confirmed_ms: float | None = None,
    ) -> list[Send]:
        """Return the call that asks for the first pages that are not being fetched already."""
        free = [
            entry
            for entry in wanted
            if self._fetching.get((service_name, page_id(entry)), now_ms) <= now_ms
        ]
        if len(free) < len(wanted):
            confirmed_ms = None
        asked, rest = free[:PAGES_PER_FETCH], free[PAGES_PER_FETCH:]
        if not asked:
            return []
        versions = self._copies[service_name].store.versions()
        known = [
            PageVersion(entry.pins, entry.page_number, versions.get(page_id(entry), 0))
            for entry in asked
        ]
        for entry in asked:
            self._fetching[service_name, page_id(entry)] = now_ms + _TIMEOUT_MS
        message = PagesRequest(self._sender, service_name, known)
        context = Fetch(service_name, asked, rest, confirmed_ms)
        return [
            Send(node_id, address, MessageType.PAGES, message, PagesReply, _TIMEOUT_MS, context)
        ]

    def settle_fetch(
        self, send: Send, reply: PagesReply | None, now_ms: int
    ) -> tuple[list[PlacementPage], list[Send]]:
        """Take the pages over and ask for the rest; return the pages that changed."""
        context = send.context
        assert isinstance(context, Fetch)
        for entry in context.asked:
            self._fetching.pop((context.service_name, page_id(entry)), None)
        if reply is None:
            return [], []
        copy = self._copies[context.service_name]
        changed = [new for page in reply.pages for new in copy.put(page)]
        is_complete = all(
            copy.store.version(page_id(entry)) >= entry.version for entry in context.asked
        )
        confirmed_ms = context.confirmed_ms if is_complete else None
        if context.rest:
            return changed, self.fetch(
                context.service_name,
                send.node_id,
                send.address,
                context.rest,
                now_ms,
                confirmed_ms,
            )
        if confirmed_ms is not None:
            copy.confirm(confirmed_ms)
        return changed, []


def _age(copy: ServiceCopy | None, now_ms: int) -> int:
    age_ms = copy.age_ms(now_ms) if copy else None
    return _UNKNOWN_AGE_MS if age_ms is None else age_ms
