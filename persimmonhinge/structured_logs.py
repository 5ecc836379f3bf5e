"""Structured logs on standard output: a JSON object a line, never blocking."""

from __future__ import annotations

from collections.abc import Callable
import logging
import os
import time

import msgspec

from persimmonhinge import line_budgets
from persimmonhinge import logs

# Time after which lines that were left out are counted in a line, seconds.
_TELL_S = 1.0
_STDOUT = 1

# What a log record has of itself; all else was passed as `extra`.
_OWN_FIELDS = frozenset(logging.makeLogRecord({}).__dict__) | {"message"}


class StructuredHandler(logging.Handler):
    """Writes each record as one JSON line to a file that must not block.

    Guards against a host that stops forwarding because nobody reads its log:
    lines that the reader does not take at once, or that exceed the budget,
    are left out, and a line says how many.
    """

    def __init__(
        self,
        host: str,
        file: int = _STDOUT,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Makes a handler.

        Args:
            host: Name of the host in each line.
            file: File descriptor, which is made not to block.
            clock: Tells the time, seconds.
        """
        super().__init__()
        os.set_blocking(file, False)
        self._host = host
        self._file = file
        self._clock = clock
        self._budget = line_budgets.Budget(clock)
        self._encoder = msgspec.json.Encoder(enc_hook=str)
        self._left_out = 0
        self._left_out_since = 0.0

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a record, or counts it as left out."""
        if not self._budget.take():
            self._leave_out()
            return
        self._tell_left_out()
        self._write(self._render(record))

    def _render(self, record: logging.LogRecord) -> dict[str, object]:
        line: dict[str, object] = {
            "time": round(record.created, 3),
            "level": record.levelname,
            "host": self._host,
            "part": logs.name_part(record.name),
            "event": record.getMessage(),
        }
        for key, value in record.__dict__.items():
            if key not in _OWN_FIELDS:
                line[key] = value
        if record.exc_info:
            line["error"] = logging.Formatter().formatException(record.exc_info)
        return line

    def _write(self, line: dict[str, object]) -> None:
        octets = self._encoder.encode(line) + b"\n"
        try:
            written = os.write(self._file, octets)
        except OSError:
            # Nowhere is left to say so; the next line that can be written
            # counts this one.
            self._leave_out()
            return
        if written < len(octets):
            self._leave_out()

    def _leave_out(self) -> None:
        if not self._left_out:
            self._left_out_since = self._clock()
        self._left_out += 1

    def _tell_left_out(self) -> None:
        if not self._left_out:
            return
        if self._clock() - self._left_out_since < _TELL_S:
            return
        count, self._left_out = self._left_out, 0
        self._write(
            {
                "time": round(time.time(), 3),
                "level": "WARNING",
                "host": self._host,
                "part": "logs",
                "event": "Lines were left out.",
                "lines": count,
            }
        )


def configure(host: str, level: str) -> None:
    """Sends the log of this process to standard output.

    Args:
        host: Name of the host in each line.
        level: Name of the lowest level that is written.
    """
    logs.install(StructuredHandler(host), level)
