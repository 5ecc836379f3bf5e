"""What the runs of a soak come to."""

from __future__ import annotations

import pathlib

from tests.soak import soak

# As shells report a program that Ctrl-C ended.
_INTERRUPTED = 130
_BROKEN = 1
_UNJUDGED = 3


class Verdicts:
    """Collects the folders of runs that broke a promise or prove nothing.

    Attributes:
        interrupted: True once Ctrl-C has ended a run.
    """

    def __init__(self, root: pathlib.Path) -> None:
        """Makes an empty collection.

        Args:
            root: Folder that the names of folders begin from.
        """
        self._root = root
        self._broken: list[pathlib.Path] = []
        self._unjudged: list[pathlib.Path] = []
        self.interrupted = False

    def add(self, result: soak.SoakResult, folder: pathlib.Path) -> None:
        """Adds a run; its logs are kept where they are to be named."""
        if not result.valid:
            self._unjudged.append(folder)
        elif not result.clean:
            self._broken.append(folder)

    def describe(self) -> list[str]:
        """Returns the last lines of the output."""
        lines = []
        if self.interrupted:
            lines.append("interrupted; all processes that it started ended")
        if self._unjudged:
            lines.append(
                "not judged, as the soak itself was late (run fewer things at "
                f"once); logs are in {self._name(self._unjudged)}"
            )
        if self._broken:
            lines.append(f"broken; logs are in {self._name(self._broken)}")
        return lines

    def exit_code(self) -> int:
        """Returns the exit code: 0 if all runs were judged and clean."""
        if self._broken:
            return _BROKEN
        if self.interrupted:
            return _INTERRUPTED
        return _UNJUDGED if self._unjudged else 0

    def _name(self, folders: list[pathlib.Path]) -> str:
        return " ".join(str(f.relative_to(self._root)) for f in folders)
