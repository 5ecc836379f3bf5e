"""An entry host under cProfile; a planned stop writes what it found."""

from __future__ import annotations

import cProfile
import sys

from persimmonhinge.cmd import entry


def main() -> None:
    """Runs `persimmonhinge-entry`; the first argument is the file to write."""
    path = sys.argv.pop(1)
    profile = cProfile.Profile()
    try:
        profile.runcall(entry.program)
    finally:
        profile.dump_stats(path)


if __name__ == "__main__":
    main()
