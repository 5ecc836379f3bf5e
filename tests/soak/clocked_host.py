"""A forwarding host whose time of day a file shifts.

    python -m tests.soak.clocked_host SETTINGS

The file lies beside the settings and has the suffix `.clock`: seconds to add.
"""

from __future__ import annotations

import pathlib
import sys
import time

from persimmonhinge.cmd import forward

CLOCK_SUFFIX = ".clock"


def main() -> None:
    """Shifts the time of day that the program reads, and runs the program."""
    path = pathlib.Path(sys.argv[1]).with_suffix(CLOCK_SUFFIX)
    read_time = time.time

    def read_shifted() -> float:
        if not path.exists():
            return read_time()
        return read_time() + float(path.read_text() or 0)

    time.time = read_shifted
    time.time_ns = lambda: int(read_shifted() * 1e9)
    forward.main()


if __name__ == "__main__":
    main()
