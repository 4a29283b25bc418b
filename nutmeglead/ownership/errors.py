"""Define the refusals of a grant holder and the errors of placement changes."""

from dataclasses import dataclass
from typing import ClassVar

from nutmeglead.core.errors import NutmegleadError
from nutmeglead.core.ids import Epoch, LeaseEpoch, ServerId

__all__ = [
    "EpochMismatch",
    "LeaseLapsed",
    "LeaseNotHeld",
    "NotOwner",
    "OwnershipError",
    "PinNotRemovable",
    "Refusal",
    "TooManyPreviousHolders",
    "UnitExists",
    "UnitNotOnPage",
]


class OwnershipError(NutmegleadError):
    """Be the root of the errors of this package."""


class Refusal(OwnershipError):
    """Be the root of a holder's refusals; each one means that the request was not run."""

    reason: ClassVar[str] = "refused"


@dataclass
class LeaseNotHeld(Refusal):
    """Refuse because too few renewals of the lease epoch have arrived."""

    reason: ClassVar[str] = "lease-not-held"
    lease_epoch: LeaseEpoch

    def __str__(self) -> str:
        return f"not run: no lease at lease epoch {self.lease_epoch}"


@dataclass
class LeaseLapsed(Refusal):
    """Refuse because the lease has ended; only a higher lease epoch can begin another."""

    reason: ClassVar[str] = "lease-lapsed"
    lease_epoch: LeaseEpoch

    def __str__(self) -> str:
        return f"not run: the lease of lease epoch {self.lease_epoch} has ended"


@dataclass
class NotOwner(Refusal):
    """Refuse because no granted unit contains the key."""

    reason: ClassVar[str] = "not-owner"
    key: str

    def __str__(self) -> str:
        return f"not run: this server has no grant for the key {self.key!r}"


@dataclass
class EpochMismatch(Refusal):
    """Refuse because the request names another epoch than the granted one."""

    reason: ClassVar[str] = "epoch-mismatch"
    given: Epoch
    granted: Epoch

    def __str__(self) -> str:
        return f"not run: the request names epoch {self.given}, granted is epoch {self.granted}"


@dataclass
class UnitNotOnPage(OwnershipError):
    """Report a change of a unit that the page does not hold."""

    unit: object
    page: str

    def __str__(self) -> str:
        return f"the page {self.page} does not hold {self.unit}"


@dataclass
class UnitExists(OwnershipError):
    """Report the addition of a unit that exists already."""

    unit: object

    def __str__(self) -> str:
        return f"{self.unit} exists already; move it instead"


@dataclass
class TooManyPreviousHolders(OwnershipError):
    """Report a move that has to wait for the proof of an earlier holder."""

    unit: object
    count: int
    limit: int

    def __str__(self) -> str:
        return f"{self.unit} would have {self.count} previous holders, the limit is {self.limit}"


@dataclass
class PinNotRemovable(OwnershipError):
    """Report the removal of a unit whose keys would change owner or are still moving."""

    unit: object
    owner: ServerId | None
    owners_below: tuple[ServerId | None, ...]
    pending: bool

    def __str__(self) -> str:
        return (
            f"{self.unit} of {self.owner} cannot be removed: owners below are "
            f"{list(self.owners_below)}, handover pending: {self.pending}"
        )
