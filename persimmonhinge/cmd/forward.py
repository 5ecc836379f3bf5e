"""The program `persimmonhinge-forward`: one host that forwards packets."""

from __future__ import annotations

# The plain module: `signal` makes enumerations of all it names.
import _signal  # type: ignore[import-not-found]
import os

from persimmonhinge import collector
from persimmonhinge import process_end

_STANDARD_FILES = (0, 1, 2)


def main() -> None:
    """Runs a host until SIGTERM; see `forward_host.run`."""
    # The default action would end a host that is told of new settings before
    # it follows signals.
    _signal.signal(_signal.SIGHUP, _signal.SIG_IGN)
    process_end.end_at_signals()
    # Before all else is imported: nothing that modules make at their import is
    # garbage, and a host that was restarted forwards nothing while it looks.
    collector.pause()
    try:
        _open_missing_files()
        from persimmonhinge.cmd import forward_host

        forward_host.run()
    except BaseException as error:
        process_end.end_with_error(error)


def _open_missing_files() -> None:
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


if __name__ == "__main__":
    main()
