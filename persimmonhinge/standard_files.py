"""Makes sure that the numbers of the standard files are in use."""

from __future__ import annotations

import os

_STANDARD_FILES = (0, 1, 2)


def open_missing() -> None:
    """Opens the null device for each standard file that is closed.

    Otherwise the next file or socket that is opened gets its number, and the
    log is written into it.
    """
    for file in _STANDARD_FILES:
        try:
            os.fstat(file)
        except OSError:
            # The system call returns the lowest number that is free.
            os.open(os.devnull, os.O_RDWR)
