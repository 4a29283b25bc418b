"""Define the errors of the audit trail."""

from dataclasses import dataclass

from nutmeglead.core.errors import NutmegleadError

__all__ = ["AuditRecordMalformed"]


@dataclass
class AuditRecordMalformed(NutmegleadError):
    """Report a line of an audit object that is not a record."""

    place: str
    reason: str

    def __str__(self) -> str:
        return f"{self.place}: expected an audit record, got {self.reason}"
