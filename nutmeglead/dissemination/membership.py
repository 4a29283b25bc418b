"""Know the other entry VMs from the VM list, heartbeats and news; all three are hints."""

import random
from collections.abc import Iterable

from nutmeglead._generated.common.ttypes import Address, Sender
from nutmeglead._generated.messages.ttypes import Heartbeat, MemberNews, MemberStatus
from nutmeglead._generated.settings.ttypes import DisseminationSettings
from nutmeglead.core.ids import FailureDomainName, NodeId
from nutmeglead.dissemination.members import NEVER_MS, Identity, Member, MemberEvent, MemberState
from nutmeglead.dissemination.news import NewsQueue, news_of
from nutmeglead.dissemination.rings import Rings
from nutmeglead.platform.ports import VmEntry, VmState

__all__ = ["Membership"]

# Late messages of an earlier process come within seconds; four restarts in that time are many.
_MAX_SUPERSEDED = 4
# A gone member's record is kept for this many times gone_after_ms, so that late messages of its
# last process do not bring it back.
_KEEP_GONE_FACTOR = 10


class Membership:
    """Decide who is alive, silent or gone, and whom to send heartbeats to."""

    def __init__(
        self, identity: Identity, settings: DisseminationSettings, rng: random.Random, now_ms: int
    ) -> None:
        self.identity = identity
        self._settings = settings
        self._rng = rng
        self._members: dict[str, Member] = {}
        self._alive: dict[str, Member] = {}
        self._not_alive: dict[str, Member] = {}
        self._rings = Rings(identity.node_id, settings.heartbeat_peers)
        self._watched: set[str] = set()
        self._news = NewsQueue(rng)
        self._events: list[MemberEvent] = []
        self._sequence = 0
        self._announced_sequence = 0
        # Grows with every change of the alive members and their domains; views of them are cached.
        self.version = 0
        self._started_ms = now_ms
        self._last_tick_ms = now_ms
        self._last_heard_ms = NEVER_MS
        self._announce_self()

    # ---- questions ----

    @property
    def sequence(self) -> int:
        """Return the sequence of this node's last heartbeat."""
        return self._sequence

    def member(self, node_id: str) -> Member | None:
        """Return the record of a member."""
        return self._members.get(node_id)

    def members(self) -> list[Member]:
        """List all known members, gone ones included."""
        return list(self._members.values())

    def alive(self) -> dict[str, Member]:
        """Return the members that are believed to be alive; the caller must not change it."""
        return self._alive

    def is_mesh(self) -> bool:
        """Tell whether the members are few enough that all exchange heartbeats."""
        silent = sum(m.state is MemberState.SILENT for m in self._not_alive.values())
        return len(self._alive) + silent < self._settings.mesh_max_members

    def is_cut_off(self, now_ms: int) -> bool:
        """Tell whether members are known and none of them was heard for silent_after_ms."""
        silent_ms = self._settings.silent_after_ms
        if not any(m.state is not MemberState.GONE for m in self._members.values()):
            return False
        return now_ms - max(self._last_heard_ms, self._started_ms) > silent_ms

    def take_events(self) -> list[MemberEvent]:
        """Return the events since the last call."""
        events, self._events = self._events, []
        return events

    # ---- evidence ----

    def learn_vms(self, entries: Iterable[VmEntry], now_ms: int) -> None:
        """Take over the lagging VM list; a member that is heard stays alive whatever it says."""
        listed = {entry.vm_id: entry for entry in entries if entry.role == "entry"}
        for member in list(self._members.values()):
            entry = listed.get(member.node_id)
            member.is_listed = entry is not None and entry.state is not VmState.GONE
            if entry is not None and member.state is not MemberState.ALIVE:
                self._compare_with_list(member, entry, now_ms)
        for entry in listed.values():
            if entry.state is not VmState.GONE and entry.vm_id not in self._members:
                address = Address(entry.ip, entry.port)
                added = self._add(NodeId(entry.vm_id), entry.failure_domain, address, now_ms)
                if added is not None:
                    added.is_listed = True

    def _compare_with_list(self, member: Member, entry: VmEntry, now_ms: int) -> None:
        if not member.is_listed:
            self._change(member, MemberState.GONE, now_ms)
            return
        # The VM may have been replaced under the same id, with another address.
        member.address = Address(entry.ip, entry.port)
        is_old = now_ms - member.changed_ms > self._settings.gone_after_ms
        if member.state is MemberState.GONE and is_old:
            self._change(member, MemberState.SILENT, now_ms)

    def hear_heartbeat(self, heartbeat: Heartbeat, now_ms: int) -> bool:
        """Take over a heartbeat; return False if it is late or of an earlier process."""
        sender = heartbeat.sender
        domain = FailureDomainName(heartbeat.failure_domain)
        member = self._members.get(sender.node_id)
        if member is None:
            member = self._add(NodeId(sender.node_id), domain, heartbeat.rpc_address, now_ms)
        if member is None or not self._is_current(member, sender.incarnation):
            return False
        is_same = sender.incarnation == member.incarnation
        if is_same and heartbeat.sequence <= member.heartbeat_sequence:
            return False
        was_alive = member.state is MemberState.ALIVE
        self._hear(member, sender.incarnation, now_ms)
        member.heartbeat_sequence = heartbeat.sequence
        self.version += member.failure_domain != domain
        member.failure_domain = domain
        member.address = heartbeat.rpc_address
        member.relay_address = heartbeat.relay_address
        member.gate_address = heartbeat.gate_address
        if not was_alive:
            self._tell(member, MemberStatus.ALIVE)
        if heartbeat.leaving:
            self._leave(member, now_ms)
        for news in heartbeat.news or []:
            self._hear_news(news, now_ms)
        return True

    def hear_reply(self, sender: Sender, sequence: int | None, now_ms: int) -> bool:
        """Take a reply as a sign of life; return False if it is of an earlier process."""
        member = self._members.get(sender.node_id)
        if member is None or not self._is_current(member, sender.incarnation):
            return False
        was_alive = member.state is MemberState.ALIVE
        self._hear(member, sender.incarnation, now_ms)
        if sequence is not None:
            member.reply_sequence = sequence
            if not was_alive:
                self._tell(member, MemberStatus.ALIVE)
        return True

    def _is_current(self, member: Member, incarnation: str) -> bool:
        """Tell whether a message is of the known process or of one that replaces it.

        Incarnations begin with their start time, so the higher one is the later process. A clock
        that was set back breaks this order, therefore any new process replaces one that is silent.
        """
        if incarnation in member.superseded or (member.incarnation and not incarnation):
            return (
                False  # news without an incarnation comes from a node that never heard the member
            )
        return incarnation >= member.incarnation or member.state is not MemberState.ALIVE

    def _hear(self, member: Member, incarnation: str, now_ms: int) -> None:
        self._last_heard_ms = now_ms
        member.heard_ms = now_ms
        is_new_process = self._set_incarnation(member, incarnation)
        if member.state is not MemberState.ALIVE:
            self._news.discard(member.node_id)
        self._change(member, MemberState.ALIVE, now_ms, is_new_process)

    def _set_incarnation(self, member: Member, incarnation: str) -> bool:
        if incarnation == member.incarnation:
            return False
        if member.incarnation:
            kept = (*member.superseded, member.incarnation)
            member.superseded = kept[-_MAX_SUPERSEDED:]
        member.incarnation = incarnation
        member.heartbeat_sequence = member.reply_sequence = member.news_sequence = 0
        return True

    def _leave(self, member: Member, now_ms: int) -> None:
        """Take a member that announced its planned stop out at once."""
        member.is_listed = False
        self._tell(member, MemberStatus.LEFT)
        self._set_incarnation(member, "")
        member.heard_ms = NEVER_MS
        self._change(member, MemberState.GONE, now_ms)

    # ---- news of members that this node does not hear itself ----

    def _hear_news(self, news: MemberNews, now_ms: int) -> None:
        node_id = news.member.node_id
        if node_id == self.identity.node_id:
            is_contrary = news.status != MemberStatus.ALIVE or news.member != self.identity.sender
            if is_contrary and news.sequence >= self._announced_sequence:
                self._sequence = max(self._sequence, news.sequence)
                self._announce_self()
            return
        member = self._members.get(node_id)
        if member is None:
            self._hear_of_unknown(news, now_ms)
        elif self._is_accepted(member, news, now_ms):
            self._accept_news(member, news, now_ms)

    def _hear_of_unknown(self, news: MemberNews, now_ms: int) -> None:
        if news.status == MemberStatus.LEFT:
            return
        domain = FailureDomainName(news.failure_domain)
        member = self._add(NodeId(news.member.node_id), domain, news.rpc_address, now_ms)
        if member is not None:
            self._accept_news(member, news, now_ms)

    def _is_accepted(self, member: Member, news: MemberNews, now_ms: int) -> bool:
        """Tell whether news is newer than what is known; what this node hears itself wins."""
        if not self._is_current(member, news.member.incarnation):
            return False
        if news.member.incarnation != member.incarnation or news.status == MemberStatus.LEFT:
            return True
        if news.status == MemberStatus.ALIVE:
            return news.sequence > member.news_sequence
        if now_ms - member.heard_ms <= self._settings.silent_after_ms:
            return False
        if member.state is MemberState.ALIVE:
            return news.sequence >= member.news_sequence
        return news.sequence > member.news_sequence

    def _accept_news(self, member: Member, news: MemberNews, now_ms: int) -> None:
        is_new_process = self._set_incarnation(member, news.member.incarnation)
        member.news_sequence = max(member.news_sequence, news.sequence)
        if news.status == MemberStatus.LEFT:
            self._leave(member, now_ms)
            return
        is_alive = news.status == MemberStatus.ALIVE
        if is_alive:
            member.address = news.rpc_address
        # A watched member stays silent until it answers here: this node may be unable to reach it.
        if not is_alive or is_new_process or member.node_id not in self._watched:
            state = MemberState.ALIVE if is_alive else MemberState.SILENT
            self._change(member, state, now_ms, is_new_process)
        self._news.add(news, len(self._members))

    def _tell(self, member: Member, status: MemberStatus) -> None:
        member.news_sequence = member.sequence
        self._news.add(news_of(member, status), len(self._members))

    def _announce_self(self) -> None:
        self._sequence += 1
        self._announced_sequence = self._sequence
        news = MemberNews(
            self.identity.sender,
            self._sequence,
            MemberStatus.ALIVE,
            self.identity.failure_domain,
            self.identity.rpc_address,
        )
        self._news.add(news, len(self._members))

    # ---- time ----

    def tick(self, now_ms: int) -> list[Member]:
        """Judge the watched members and return those that get a heartbeat now."""
        late_ms = now_ms - self._last_tick_ms - self._settings.heartbeat_interval_ms
        self._last_tick_ms = now_ms
        if late_ms > self._settings.heartbeat_interval_ms:
            self._forgive_own_pause(late_ms)
        self._sequence += 1
        self._watch(now_ms)
        self._judge(now_ms)
        self._forget(now_ms)
        targets = [self._members[node_id] for node_id in sorted(self._watched)]
        return targets + self._one_silent_member()

    def _forgive_own_pause(self, late_ms: int) -> None:
        """Count the time in which this process was paused for no member as silence."""
        self._last_heard_ms += late_ms
        for member in self._members.values():
            member.heard_ms += late_ms
            member.watched_since_ms += late_ms

    def _watch(self, now_ms: int) -> None:
        watched: set[str]
        if self.is_mesh():
            watched = {m.node_id for m in self._members.values() if m.state is not MemberState.GONE}
        elif self.is_cut_off(now_ms):
            return  # all would be silent one after the other, though the fault is this node's
        else:
            watched = self._rings.successors(self._alive)
        for node_id in watched - self._watched:
            self._members[node_id].watched_since_ms = now_ms
        self._watched = watched

    def _judge(self, now_ms: int) -> None:
        may_tell = not self.is_cut_off(now_ms)
        for node_id in sorted(self._watched):
            member = self._members[node_id]
            quiet_ms = now_ms - max(member.heard_ms, member.watched_since_ms)
            is_quiet = quiet_ms > self._settings.silent_after_ms
            if member.state is MemberState.ALIVE and is_quiet:
                self._change(member, MemberState.SILENT, now_ms)
                if may_tell:
                    self._tell(member, MemberStatus.SILENT)

    def _forget(self, now_ms: int) -> None:
        gone_after_ms = self._settings.gone_after_ms
        for member in list(self._not_alive.values()):
            age_ms = now_ms - member.changed_ms
            if member.state is MemberState.SILENT:
                if not member.is_listed and age_ms > gone_after_ms:
                    self._change(member, MemberState.GONE, now_ms)
            elif age_ms > gone_after_ms * _KEEP_GONE_FACTOR:
                del self._members[member.node_id], self._not_alive[member.node_id]

    def _one_silent_member(self) -> list[Member]:
        """Return a silent member that is not watched, so that a healed partition is noticed."""
        silent = [
            member
            for member in self._not_alive.values()
            if member.state is MemberState.SILENT and member.node_id not in self._watched
        ]
        return [self._rng.choice(silent)] if silent else []

    # ---- own messages ----

    def heartbeat(
        self,
        target: Member,
        role_epochs: dict[str, int],
        map_digests: dict[str, int],
        leaving: bool = False,
    ) -> Heartbeat:
        """Return the heartbeat for one member, with the news that it may not have."""
        news = self._news.take()
        if target.state is MemberState.SILENT and target.incarnation:
            # A member that is wrongly held for silent must learn of it to announce itself again.
            news.append(news_of(target, MemberStatus.SILENT))
        if leaving:
            self._sequence += 1
        return Heartbeat(
            sender=self.identity.sender,
            failure_domain=self.identity.failure_domain,
            sequence=self._sequence,
            rpc_address=self.identity.rpc_address,
            role_epochs=role_epochs,
            map_digests=map_digests,
            relay_address=self.identity.relay_address,
            gate_address=self.identity.gate_address,
            news=news or None,
            leaving=leaving,
        )

    # ---- records ----

    def _add(
        self, node_id: NodeId, domain: FailureDomainName, address: Address, now_ms: int
    ) -> Member | None:
        """Add a member in the state alive, until it is silent; None for this node itself."""
        if node_id == self.identity.node_id:
            return None
        member = Member(node_id, domain, address, changed_ms=now_ms)
        self._members[node_id] = member
        self._alive[node_id] = member
        self.version += 1
        self._rings.add(node_id)
        return member

    def _change(
        self, member: Member, state: MemberState, now_ms: int, is_new_process: bool = False
    ) -> None:
        """Set a state; a new process in the same state is an event as well."""
        before = member.state
        if before is state and not is_new_process:
            return
        self._events.append(MemberEvent(member.node_id, before, state, member.incarnation))
        if before is state:
            return
        member.state = state
        member.changed_ms = now_ms
        self.version += 1
        if state is MemberState.ALIVE:
            self._not_alive.pop(member.node_id, None)
            self._alive[member.node_id] = member
            self._rings.add(member.node_id)
        else:
            self._alive.pop(member.node_id, None)
            self._not_alive[member.node_id] = member
            self._rings.remove(member.node_id)
        if state is MemberState.GONE:
            self._watched.discard(member.node_id)
