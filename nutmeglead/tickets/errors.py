"""Define the errors of checking, filing and reading tickets."""

from dataclasses import dataclass

from nutmeglead.core.errors import NutmegleadError
from nutmeglead.core.ids import RowKey
from nutmeglead.settings.errors import Fault, describe_count

__all__ = [
    "BaseAhead",
    "BaseTooOld",
    "Collision",
    "CorruptRow",
    "FilingIdReused",
    "FilingUnknown",
    "HeadContention",
    "TicketAbsent",
    "TicketConflict",
    "TicketError",
    "TicketFaults",
]


class TicketError(NutmegleadError):
    """Base class of the errors of reading and filing tickets."""


@dataclass
class TicketFaults(TicketError):
    """Report all faults of a ticket that was refused; it was not filed."""

    source: str
    faults: tuple[Fault, ...]

    def __str__(self) -> str:
        lines = "\n".join(f"  {fault}" for fault in self.faults)
        return f"{self.source}: not filed, {describe_count(len(self.faults), 'fault')}\n{lines}"


@dataclass(frozen=True)
class Collision:
    """Name an item of the refused ticket and the item of a later ticket that it collides with."""

    path: str
    item: str
    other_number: int
    other_item: str

    def __str__(self) -> str:
        other = f"ticket {self.other_number} ({self.other_item})"
        return f"{self.path} ({self.item}) collides with {other}"


@dataclass
class TicketConflict(TicketError):
    """Report collisions with tickets filed after the base; the ticket was not filed."""

    base_number: int
    head_number: int
    collisions: tuple[Collision, ...]

    def __str__(self) -> str:
        lines = "\n".join(f"  {collision}" for collision in self.collisions)
        count = describe_count(len(self.collisions), "collision")
        return (
            f"not filed: expected no change of its items after base {self.base_number},"
            f" got {count} up to head {self.head_number}\n{lines}"
        )


@dataclass
class FilingIdReused(TicketError):
    """Report a filing id that a filed ticket with other content has; the ticket was not filed."""

    filing_id: str
    number: int

    def __str__(self) -> str:
        return (
            f"not filed: expected a new filing id or the content of ticket {self.number},"
            f" got other content under the filing id {self.filing_id!r}"
        )


@dataclass
class FilingUnknown(TicketError):
    """Report that a ticket may or may not have been filed.

    Filing it again with the same filing id is safe: it gets one number at most.
    """

    filing_id: str
    reason: str

    def __str__(self) -> str:
        return (
            f"the ticket with filing id {self.filing_id!r} may or may not be filed;"
            f" file it again with the same filing id: {self.reason}"
        )


@dataclass
class HeadContention(TicketError):
    """Report that each attempt failed because another was accepted; the ticket was not filed."""

    attempts: int
    head_number: int

    def __str__(self) -> str:
        return (
            f"not filed: other tickets were accepted during each of {self.attempts} attempts,"
            f" the last seen head is {self.head_number}"
        )


@dataclass
class BaseAhead(TicketError):
    """Report a base number above the head's; the ticket was not filed."""

    base_number: int
    head_number: int

    def __str__(self) -> str:
        return (
            f"not filed: expected a base of at most the head {self.head_number},"
            f" got {self.base_number}"
        )


@dataclass
class BaseTooOld(TicketError):
    """Report a base with more than `max_tickets` tickets after it; the ticket was not filed."""

    base_number: int
    head_number: int
    max_tickets: int

    def __str__(self) -> str:
        return (
            f"not filed: expected a base of at most {self.max_tickets} tickets before the head"
            f" {self.head_number}, got {self.base_number}"
        )


@dataclass
class TicketAbsent(TicketError):
    """Report that there is no row for a ticket number, which was requested or is below the head."""

    number: int

    def __str__(self) -> str:
        return f"expected a ticket with the number {self.number}, got no such row"


@dataclass
class CorruptRow(TicketError):
    """Report a stored row that cannot be decoded or has unexpected content.

    A ticket whose filing reads such a row cannot be filed until the row is repaired.
    """

    key: RowKey
    reason: str

    def __str__(self) -> str:
        return f"row {self.key}: {self.reason}"
