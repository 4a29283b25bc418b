"""Queue news of members until enough heartbeats have carried them."""

import random

from nutmeglead._generated.common.ttypes import Sender
from nutmeglead._generated.messages.ttypes import MemberNews, MemberStatus
from nutmeglead.dissemination.members import Member

__all__ = ["NewsQueue", "news_of"]

# About 60 bytes each, so a heartbeat stays below 1 kB also while a failure domain is lost.
NEWS_PER_HEARTBEAT = 8
# Each member that hears a piece of news sends it this many times per factor of two in members.
# With 3, the chance that it misses some member is below 1 in 10,000 (epidemic broadcast,
# Demers et al., "Epidemic algorithms for replicated database maintenance", PODC 1987).
_SENDS_PER_DOUBLING = 3


class NewsQueue:
    """Hold the latest news of each member and how often it is still to be sent."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._entries: dict[str, MemberNews] = {}
        self._sends_left: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, news: MemberNews, member_count: int) -> None:
        """Queue news; it replaces older news of the same member."""
        node_id = news.member.node_id
        self._entries[node_id] = news
        self._sends_left[node_id] = _SENDS_PER_DOUBLING * (member_count + 2).bit_length()

    def discard(self, node_id: str) -> None:
        """Forget the news of a member."""
        self._entries.pop(node_id, None)
        self._sends_left.pop(node_id, None)

    def take(self) -> list[MemberNews]:
        """Return the news for one heartbeat, those that were sent least first."""
        if not self._entries:
            return []
        shuffled = self._rng.sample(sorted(self._entries), len(self._entries))
        shuffled.sort(key=self._sends_left.__getitem__, reverse=True)
        chosen = shuffled[:NEWS_PER_HEARTBEAT]
        taken = [self._entries[node_id] for node_id in chosen]
        for node_id in chosen:
            self._sends_left[node_id] -= 1
            if self._sends_left[node_id] <= 0:
                self.discard(node_id)
        return taken


def news_of(member: Member, status: MemberStatus) -> MemberNews:
    """Return what this node tells others of a member."""
    return MemberNews(
        Sender(member.node_id, member.incarnation),
        member.sequence,
        status,
        member.failure_domain,
        member.address,
    )
