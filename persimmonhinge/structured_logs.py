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
        try:
            os.set_blocking(file, False)
        except OSError:
            # It is closed: each line is left out.
            pass
        self._host = host
        self._file = file
        self._clock = clock
        self._budget = line_budgets.Budget(clock)
        self._encoder = msgspec.json.Encoder(enc_hook=str)
        self._left_out = 0
        self._left_out_since = 0.0
        # Lines that could only be written in a reduced form.
        self._reduced = 0
        # Rest of a line that the file took in part.
        self._rest = b""

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a record, or counts it as left out."""
        if not self._budget.take():
            self._leave_out()
            return
        self._tell_left_out()
        if not self._write(self._encode(record)):
            self._leave_out()

    def flush(self) -> None:
        """Writes the rest of a line that the file took in part."""
        self._write(b"")

    def _encode(self, record: logging.LogRecord) -> bytes:
        try:
            return self._encoder.encode(self._render(record)) + b"\n"
        # Fields come from all over the program, and encode themselves: numbers
        # beyond 64 bits, surrogates or texts of objects raise any error.
        except Exception as error:
            self._reduced += 1
            line = {
                "time": round(record.created, 3),
                "level": record.levelname,
                "host": self._host,
                "part": logs.name_part(record.name),
                "event": _make_printable(record.msg),
                "not_encoded": type(error).__name__,
                "reduced_lines": self._reduced,
            }
            return self._encoder.encode(line) + b"\n"

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

    def _write(self, octets: bytes) -> bool:
        """Writes a line after the rest of a former one, or nothing of it.

        Returns:
            Whether the file took the line, or its first part.
        """
        try:
            if self._rest:
                self._rest = self._rest[os.write(self._file, self._rest) :]
                if self._rest:
                    return False
            if octets:
                self._rest = octets[os.write(self._file, octets) :]
        except OSError:
            # Nowhere is left to say so; the next line that can be written
            # counts this one.
            return False
        return True

    def _leave_out(self) -> None:
        if not self._left_out:
            self._left_out_since = self._clock()
        self._left_out += 1

    def _tell_left_out(self) -> None:
        if not self._left_out:
            return
        if self._clock() - self._left_out_since < _TELL_S:
            return
        line = {
            "time": round(time.time(), 3),
            "level": "WARNING",
            "host": self._host,
            "part": "logs",
            "event": "Lines were left out.",
            "lines": self._left_out,
        }
        if self._write(self._encoder.encode(line) + b"\n"):
            self._left_out = 0


def _make_printable(value: object) -> str:
    """Returns the text of a record, as far as it has one."""
    if not isinstance(value, str):
        return type(value).__name__
    return value.encode("utf-8", "backslashreplace").decode()


def configure(host: str, level: str) -> None:
    """Sends the log of this process to standard output.

    Args:
        host: Name of the host in each line.
        level: Name of the lowest level that is written.
    """
    handler = StructuredHandler(host)
    logs.install(handler, level)
    logs.install_for_libraries(handler)


def set_level(level: str) -> None:
    """Changes the lowest level that is written.

    Args:
        level: Name of the level.
    """
    logs.set_level(level)
