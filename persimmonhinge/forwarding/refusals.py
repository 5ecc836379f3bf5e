"""Counts and logs inputs that a host refuses or fails to handle."""

from __future__ import annotations

from collections.abc import Callable
import time

from persimmonhinge import early_logs
from persimmonhinge import errors
from persimmonhinge.forwarding import input_source
from persimmonhinge.light_typing import TYPE_CHECKING
from persimmonhinge.metrics import counts as counts_module

if TYPE_CHECKING:
    from typing import Any

logger = early_logs.get_logger(__name__)

# Minimum time between two log lines about one source, seconds. The counters
# include the inputs that are not logged.
_MIN_LOG_INTERVAL_S = 1.0
# Maximum length of texts from an input in a log line, characters.
_MAX_TEXT_CHARACTERS = 200
# Innermost frames of a traceback that are logged.
_LOGGED_FRAMES = 6


class Refusals:
    """Counts and logs inputs from outside that a host does not use.

    A refused input is one that a decoder does not accept. A failed input is
    one that a decoder accepted and that raised an error later, which is a fault
    of this program. Neither ends the process: the input is dropped.
    """

    def __init__(
        self,
        counts: counts_module.Counts,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Initializes the record.

        Args:
            counts: Counters of the host.
            clock: Returns the current time, seconds.
        """
        self._counts = counts
        self._clock = clock
        self._logged_at: dict[tuple[str, str], float] = {}
        self._omitted: dict[tuple[str, str], int] = {}

    def record_refusal(
        self,
        source: input_source.InputSource,
        key: str,
        error: errors.RefusedInputError,
    ) -> None:
        """Records an input that its decoder refused.

        Args:
            source: Where the input comes from.
            key: Key of the entry, address of the sender, or path of the file.
            error: Why the decoder refused it.
        """
        self._counts.add("inputs_refused_total", source=source.value)
        self._log(
            "Refused an input.",
            source,
            key=key,
            field=error.field,
            reason=error.reason,
        )

    def record_failure(
        self, source: input_source.InputSource, key: str, error: Exception
    ) -> None:
        """Records an input that raised an unexpected error in its handler.

        Args:
            source: Where the input comes from.
            key: Key of the entry, address of the sender, or path of the file.
            error: The error.
        """
        self._counts.add("input_failures_total", source=source.value)
        # Imported only here, as most hosts never need it.
        import traceback

        frames = traceback.extract_tb(error.__traceback__)[-_LOGGED_FRAMES:]
        self._log(
            "Failed to handle an input.",
            source,
            key=key,
            field="",
            reason=f"{type(error).__name__}: {error}",
            frames=[f"{f.filename}:{f.lineno} {f.name}" for f in frames],
        )

    def _log(
        self, event: str, source: input_source.InputSource, **fields: Any
    ) -> None:
        now = self._clock()
        limited = (event, source.value)
        logged_at = self._logged_at.get(limited)
        if logged_at is not None and now - logged_at < _MIN_LOG_INTERVAL_S:
            self._omitted[limited] = self._omitted.get(limited, 0) + 1
            return
        self._logged_at[limited] = now
        logger.error(
            event,
            extra={
                "source": source.value,
                "omitted": self._omitted.pop(limited, 0),
                **{name: _make_printable(v) for name, v in fields.items()},
            },
        )


def _make_printable(value: object) -> object:
    """Returns a text from outside without what a log line can't hold."""
    if not isinstance(value, str):
        return value
    text = value[:_MAX_TEXT_CHARACTERS]
    return text.encode("utf-8", "backslashreplace").decode()
