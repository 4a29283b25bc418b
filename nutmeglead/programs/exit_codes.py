"""Define the exit codes of all programs, which docs/operators/exit-codes.md lists."""

from enum import IntEnum

from nutmeglead.core.errors import NutmegleadError, PlatformError
from nutmeglead.programs.errors import ListenFailed
from nutmeglead.settings.errors import FileUnreadable, SettingsFaults
from nutmeglead.tickets.errors import (
    BaseAhead,
    BaseTooOld,
    CorruptRow,
    FilingIdReused,
    FilingUnknown,
    HeadContention,
    TicketAbsent,
    TicketConflict,
    TicketFaults,
)

__all__ = ["ExitCode", "exit_code_of"]


class ExitCode(IntEnum):
    """Number the outcomes of a program that a calling script can distinguish."""

    DONE = 0
    # 1 is what Python itself returns after an uncaught exception.
    DEFECT = 1
    # 2 is what argparse returns for a wrong command line.
    USAGE = 2
    SETTINGS_REFUSED = 3
    FILE_UNREADABLE = 4
    TICKET_REFUSED = 5
    TICKET_CONFLICT = 6
    UNAVAILABLE = 7
    OUTCOME_UNKNOWN = 8
    NOT_FOUND = 9
    NOT_IN_FORCE = 10
    DATA_CORRUPT = 11
    LISTEN_FAILED = 12
    PROMISE_BROKEN = 13
    # 128 + SIGINT, as shells report it.
    INTERRUPTED = 130


_EXIT_CODES: dict[type[NutmegleadError], ExitCode] = {
    SettingsFaults: ExitCode.SETTINGS_REFUSED,
    FileUnreadable: ExitCode.FILE_UNREADABLE,
    TicketFaults: ExitCode.TICKET_REFUSED,
    FilingIdReused: ExitCode.TICKET_REFUSED,
    BaseAhead: ExitCode.TICKET_REFUSED,
    BaseTooOld: ExitCode.TICKET_CONFLICT,
    TicketConflict: ExitCode.TICKET_CONFLICT,
    HeadContention: ExitCode.UNAVAILABLE,
    FilingUnknown: ExitCode.OUTCOME_UNKNOWN,
    TicketAbsent: ExitCode.NOT_FOUND,
    CorruptRow: ExitCode.DATA_CORRUPT,
    ListenFailed: ExitCode.LISTEN_FAILED,
    PlatformError: ExitCode.UNAVAILABLE,
}


def exit_code_of(error: NutmegleadError) -> ExitCode:
    """Return the exit code of an error's class or of its nearest base class, or DEFECT."""
    for error_type in type(error).__mro__:
        if error_type in _EXIT_CODES:
            return _EXIT_CODES[error_type]
    return ExitCode.DEFECT
