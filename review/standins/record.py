"""What a script saw, written to `record.txt`."""

from __future__ import annotations

import pathlib
import time


class Record:
    """Lines of a run, with the seconds since its start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the start."""
        return time.monotonic() - self._started_at

    def write(self, text: str) -> None:
        """Writes a line."""
        print(f"{self.now():9.4f} {text}", file=self._file)

    def say(self, text: str) -> None:
        """Writes a line, to standard output too."""
        self.write(text)
        print(f"{self.now():9.4f} {text}", flush=True)

    def close(self) -> None:
        """Closes the file."""
        self._file.close()
