"""Lend slots of one server between routers, so that the shares never exceed the slots.

A borrower asks with `LendSlots` and counts the duration from the moment it sent the request; the
lender counts it from the later moment at which the request came, plus a margin for drift. So a
borrower always stops before its lender resumes, whatever is lost, late or doubled.
"""

from dataclasses import dataclass, field

from nutmeglead._generated.common.ttypes import Sender
from nutmeglead._generated.messages.ttypes import LendReply, LendSlots

__all__ = ["MAX_LOAN_MS", "SlotLedger"]

# A short loan returns soon from a lost borrower; one second costs two small messages per second.
MAX_LOAN_MS = 1000
# Two clocks may differ by 500 ppm each; one more ms covers the truncation of both readings.
DRIFT_PPM = 1000


def _with_margin(duration_ms: int) -> int:
    return duration_ms + duration_ms * DRIFT_PPM // 1_000_000 + 2


@dataclass
class _Loan:
    slots: int
    end_ms: int


@dataclass
class _Borrower:
    """Keep a borrower's last sequence, its reply, and the loans that may still be in use."""

    sequence: int = -1
    reply_slots: int = 0
    loans: dict[int, _Loan] = field(default_factory=dict)


@dataclass(frozen=True)
class _Asked:
    lender: str
    sent_ms: int
    duration_ms: int


class SlotLedger:
    """Keep one router's view of one server's slots; pure, `now_ms` is always an argument."""

    def __init__(
        self, sender: Sender, service_name: str, server_id: str, own_slots: int, now_ms: int
    ) -> None:
        self._sender = sender
        self._service_name = service_name
        self._server_id = server_id
        # A router that restarted may have lent all its slots just before.
        self._own_slots = 0
        self._next_own_slots = own_slots
        self._own_from_ms = now_ms + _with_margin(MAX_LOAN_MS)
        self._borrowers: dict[tuple[str, str], _Borrower] = {}
        self._sequence = 0
        self._asked: dict[int, _Asked] = {}
        self._borrowed: dict[str, dict[int, _Loan]] = {}

    @property
    def sender(self) -> Sender:
        """Return this router's identity."""
        return self._sender

    def share(self, now_ms: int) -> int:
        """Return how many requests this router may run on the server."""
        return self._own_free(now_ms) + sum(
            max((loan.slots for loan in loans.values() if loan.end_ms > now_ms), default=0)
            for loans in self._borrowed.values()
        )

    def set_own_slots(self, slots: int, now_ms: int) -> None:
        """Change this router's own part after the list of routers has changed.

        Fewer slots count at once; more only after the loans of their previous owner have ended.
        """
        if slots == self._next_own_slots:
            return
        self._own_slots = min(slots, self._own_now(now_ms))
        self._next_own_slots = slots
        self._own_from_ms = now_ms + _with_margin(MAX_LOAN_MS)

    def _own_now(self, now_ms: int) -> int:
        return self._next_own_slots if now_ms >= self._own_from_ms else self._own_slots

    def _own_free(self, now_ms: int) -> int:
        return max(0, self._own_now(now_ms) - self._lent(now_ms))

    def _lent(self, now_ms: int) -> int:
        return sum(self._lent_to(borrower, now_ms) for borrower in self._borrowers.values())

    def _lent_to(self, borrower: _Borrower, now_ms: int) -> int:
        """Return the largest live loan, which is the most that the borrower may use."""
        borrower.loans = {n: loan for n, loan in borrower.loans.items() if loan.end_ms > now_ms}
        return max((loan.slots for loan in borrower.loans.values()), default=0)

    def ask(self, lender: str, slots: int, now_ms: int) -> LendSlots:
        """Return a request for slots; it replaces an earlier loan from the same lender."""
        return self._message(lender, slots, MAX_LOAN_MS, now_ms)

    def give_back(self, lender: str, now_ms: int) -> LendSlots:
        """Stop using a lender's slots and return the message that tells it."""
        self._borrowed.pop(lender, None)
        self._asked = {n: asked for n, asked in self._asked.items() if asked.lender != lender}
        return self._message(lender, 0, 0, now_ms)

    def _message(self, lender: str, slots: int, duration_ms: int, now_ms: int) -> LendSlots:
        self._sequence += 1
        self._asked[self._sequence] = _Asked(lender, now_ms, duration_ms)
        self._forget_ended(now_ms)
        return LendSlots(
            sender=self._sender,
            service_name=self._service_name,
            server_id=self._server_id,
            sequence=self._sequence,
            slots=slots,
            duration_ms=duration_ms,
        )

    def _forget_ended(self, now_ms: int) -> None:
        self._asked = {
            n: asked
            for n, asked in self._asked.items()
            if asked.sent_ms + asked.duration_ms >= now_ms
        }

    def lend(self, message: LendSlots, busy_slots: int, now_ms: int) -> LendReply:
        """Answer a request; `busy_slots` are in use by this router's own requests.

        A repeated message gets the same reply and extends nothing; an older one gets 0.
        """
        key = (message.sender.node_id, message.sender.incarnation)
        borrower = self._borrowers.setdefault(key, _Borrower())
        if message.sequence == borrower.sequence:
            return self._reply(message, borrower.reply_slots)
        if message.sequence < borrower.sequence:
            return self._reply(message, 0)
        borrower.sequence = message.sequence
        if message.slots <= 0:
            borrower.loans.clear()
            borrower.reply_slots = 0
        else:
            borrower.reply_slots = self._grant(borrower, message, busy_slots, now_ms)
        return self._reply(message, borrower.reply_slots)

    def _grant(self, borrower: _Borrower, message: LendSlots, busy_slots: int, now_ms: int) -> int:
        lent_before = self._lent_to(borrower, now_ms)
        free = self._own_free(now_ms) + lent_before - busy_slots
        slots = max(0, min(message.slots, free))
        duration_ms = min(message.duration_ms, MAX_LOAN_MS)
        if slots and duration_ms > 0:
            borrower.loans[message.sequence] = _Loan(slots, now_ms + _with_margin(duration_ms))
            return slots
        return 0

    def _reply(self, message: LendSlots, slots: int) -> LendReply:
        return LendReply(sender=self._sender, sequence=message.sequence, slots=slots)

    def accept(self, reply: LendReply, now_ms: int) -> bool:
        """Use lent slots until the duration has passed since the request was sent.

        Return False if the reply lends nothing or is not expected.
        """
        asked = self._asked.pop(reply.sequence, None)
        if asked is None or reply.sender.node_id != asked.lender:
            return False
        slots = reply.slots
        end_ms = asked.sent_ms + min(asked.duration_ms, MAX_LOAN_MS)
        if slots <= 0 or end_ms <= now_ms:
            return False
        loans = self._borrowed.setdefault(asked.lender, {})
        loans[reply.sequence] = _Loan(slots, end_ms)
        self._borrowed[asked.lender] = {
            n: loan for n, loan in loans.items() if loan.end_ms > now_ms
        }
        return True

    def borrowed_until_ms(self, lender: str, now_ms: int) -> int:
        """Return when the last loan from a lender ends, or `now_ms` if there is none."""
        loans = self._borrowed.get(lender, {}).values()
        return max((loan.end_ms for loan in loans), default=now_ms)
