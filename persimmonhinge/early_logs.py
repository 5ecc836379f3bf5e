"""Log lines of the time before `logging` is imported."""

from __future__ import annotations

import sys
import time

from persimmonhinge import records
from persimmonhinge.light_typing import TYPE_CHECKING

if TYPE_CHECKING:
    import logging
    from typing import Any

# Lines that are kept; a host opens some tens of flows in that time, each of
# which takes a line. What is beyond is counted.
_MOST_LINES = 1000


class _Line(records.Record, frozen=True):
    """A line that waits.

    Attributes:
        logger: Name of its logger.
        level: Name of the method that logs it.
        time: When it came about, seconds since 1970.
        text: Its text.
        arguments: What the text is filled with.
        extra: Further fields.
    """

    logger: str
    level: str
    time: float
    text: str
    arguments: tuple[object, ...]
    extra: dict[str, object] | None


class EarlyLogger:
    """Stands in for a logger until `release`.

    Guards against the dark time after a restart of all hosts: to import
    `logging` takes a third of the processor time until a host's first packet,
    and nothing that it writes is needed before.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._logger: logging.Logger | None = None

    def debug(self, text: str, *arguments: object, **options: Any) -> None:
        """See `logging.Logger.debug`."""
        self._log("debug", text, arguments, options)

    def info(self, text: str, *arguments: object, **options: Any) -> None:
        """See `logging.Logger.info`."""
        self._log("info", text, arguments, options)

    def warning(self, text: str, *arguments: object, **options: Any) -> None:
        """See `logging.Logger.warning`."""
        self._log("warning", text, arguments, options)

    def error(self, text: str, *arguments: object, **options: Any) -> None:
        """See `logging.Logger.error`."""
        self._log("error", text, arguments, options)

    def hand_over(self, logger: logging.Logger) -> None:
        """Uses a logger from now on."""
        self._logger = logger

    def _log(
        self,
        level: str,
        text: str,
        arguments: tuple[object, ...],
        options: dict[str, Any],
    ) -> None:
        if self._logger is not None:
            getattr(self._logger, level)(text, *arguments, **options)
            return
        line = _Line(
            self._name,
            level,
            time.time(),
            text,
            arguments,
            options.get("extra"),
        )
        _keep(line)


class _Waiting:
    """What waits for `release`."""

    def __init__(self) -> None:
        self.loggers: dict[str, EarlyLogger] = {}
        self.lines: list[_Line] = []
        self.left_out = 0


_waiting = _Waiting()


def get_logger(name: str) -> logging.Logger | EarlyLogger:
    """Returns the logger of a module.

    It is one of `logging` wherever that is imported already, as it is in all
    programs but the forwarding host.
    """
    library = sys.modules.get("logging")
    if library is not None:
        found: logging.Logger = library.getLogger(name)
        return found
    return _waiting.loggers.setdefault(name, EarlyLogger(name))


def release() -> None:
    """Writes the lines that waited, with the times at which they came about.

    To be called once handlers are set up; later lines go to `logging` at
    once.
    """
    import logging

    for name, early in _waiting.loggers.items():
        early.hand_over(logging.getLogger(name))
    lines, _waiting.lines = _waiting.lines, []
    for line in lines:
        _write(line)
    left_out, _waiting.left_out = _waiting.left_out, 0
    if left_out:
        logger = logging.getLogger(__name__)
        logger.warning("Lines were left out.", extra={"lines": left_out})


def _keep(line: _Line) -> None:
    if len(_waiting.lines) < _MOST_LINES:
        _waiting.lines.append(line)
    else:
        _waiting.left_out += 1


def _write(line: _Line) -> None:
    import logging

    logger = logging.getLogger(line.logger)
    level = logging.getLevelName(line.level.upper())
    if not logger.isEnabledFor(level):
        return
    record = logger.makeRecord(
        line.logger,
        level,
        __file__,
        0,
        line.text,
        line.arguments,
        None,
        extra=line.extra,
    )
    record.created = line.time
    logger.handle(record)
