"""Exit codes of the command line."""

from __future__ import annotations

import enum

from persimmonhinge import errors
from persimmonhinge.contracts import outcome


class ExitCode(enum.IntEnum):
    """How a command ended.

    OK: It was done, or there was nothing to do.
    REFUSED: The input is invalid, or the change is not allowed.
    USAGE: The command line or the settings are wrong.
    CONFLICT: Another operator's change came first.
    UNAVAILABLE: The platform or a host failed; nothing was changed.
    NOT_IN_FORCE: Not all hosts that answer hold it yet.
    UNKNOWN: The change may have taken effect; repeat it with its id.
    """

    OK = 0
    REFUSED = 1
    USAGE = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    NOT_IN_FORCE = 5
    UNKNOWN = 6


# The first that fits counts, so that a kind stands before its base.
_BY_ERROR: tuple[tuple[type[errors.PersimmonhingeError], ExitCode], ...] = (
    (errors.SettingsError, ExitCode.USAGE),
    (errors.ConflictError, ExitCode.CONFLICT),
    (outcome.OutcomeUnknownError, ExitCode.UNKNOWN),
    (errors.PlatformError, ExitCode.UNAVAILABLE),
    (errors.PeerError, ExitCode.UNAVAILABLE),
)


def find_exit_code(error: errors.PersimmonhingeError) -> ExitCode:
    """Returns the exit code of an error."""
    for kind, code in _BY_ERROR:
        if isinstance(error, kind):
            return code
    return ExitCode.REFUSED
