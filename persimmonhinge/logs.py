"""Logging of the programs: one line an event, a fixed prefix a part."""

from __future__ import annotations

from collections.abc import Callable
import logging
import sys
import time

from persimmonhinge import line_budgets

_FORMAT = "%(asctime)s.%(msecs)03dZ %(levelname)-7s %(prefix)s: %(message)s"
_DATE_FORMAT = "%Y-%m-%dT%H:%M:%S"
_PACKAGE = "persimmonhinge"
# A program that is run by `python -m` bears this name in place of its own.
_MAIN = "__main__"


class _PartFilter(logging.Filter):
    """Gives each record the prefix of its part: package and host."""

    def __init__(self, name: str) -> None:
        super().__init__()
        self._name = name

    def filter(self, record: logging.LogRecord) -> bool:
        record.prefix = f"[{self._name}/{name_part(record.name)}]"
        return True


class BudgetFilter(logging.Filter):
    """Leaves out lines beyond a budget; the next one says how many.

    Guards against a host whose log takes its processor when another one dies
    with thousands of requests.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self._budget = line_budgets.Budget(clock)
        self._left_out = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Tells whether a record is within the budget."""
        if not self._budget.take():
            self._left_out += 1
            return False
        if self._left_out:
            text = record.getMessage()
            record.msg = f"{self._left_out} lines were left out. {text}"
            record.args = ()
            self._left_out = 0
        return True


def configure(name: str, level: str) -> None:
    """Sends the log of this process to standard error.

    Args:
        name: Name of the process in each line.
        level: Name of the lowest level that is written.
    """
    handler = logging.StreamHandler(sys.stderr)
    formatter = logging.Formatter(_FORMAT, _DATE_FORMAT)
    formatter.converter = time.gmtime
    handler.setFormatter(formatter)
    handler.addFilter(BudgetFilter())
    handler.addFilter(_PartFilter(name))
    install(handler, level)


def name_part(logger_name: str) -> str:
    """Returns the part of the package that a logger belongs to."""
    parts = logger_name.split(".")
    return parts[1] if len(parts) > 1 else "cmd"


def install(handler: logging.Handler, level: str) -> None:
    """Makes a handler the only one of this package.

    Args:
        handler: The handler.
        level: Name of the lowest level that is written.
    """
    for logger_name in (_PACKAGE, _MAIN):
        logger = logging.getLogger(logger_name)
        logger.handlers = [handler]
        logger.propagate = False
        logger.setLevel(level)


def set_level(level: str) -> None:
    """Changes the lowest level of this package.

    Args:
        level: Name of the lowest level that is written.
    """
    for logger_name in (_PACKAGE, _MAIN):
        logging.getLogger(logger_name).setLevel(level)


def install_for_libraries(handler: logging.Handler) -> None:
    """Makes a handler the only one of the libraries that log.

    Args:
        handler: The handler.
    """
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(logging.WARNING)
