"""Folders of a test, which are kept if it fails."""

from __future__ import annotations

from collections.abc import Iterator
import contextlib
import pathlib
import shutil
import sys
import tempfile

# What hosts and stand-ins write after a time in which they did not run.
_PAUSE = "did not run for"
_MOST_PAUSES = 60
_KEPT = pathlib.Path(__file__).parents[2] / "out" / "failed"


class KeptFolders:
    """Temporary folders that last until the outcome of their test is known.

    A test may judge what its processes did after it has ended them.
    """

    def __init__(self, kept: pathlib.Path = _KEPT) -> None:
        """Begins without a test.

        Args:
            kept: Where the folders of failed tests go.
        """
        self._kept = kept
        self._folders: list[pathlib.Path] | None = None

    def begin_test(self) -> None:
        """Keeps folders from now on until `end_test`."""
        self._folders = []

    def end_test(self, name: str, *, failed: bool) -> None:
        """Moves the folders of a test that failed, and removes others."""
        for folder in self._folders or ():
            if failed:
                self._keep(folder, name)
            else:
                shutil.rmtree(folder, ignore_errors=True)
        self._folders = None

    @contextlib.contextmanager
    def open_folder(self) -> Iterator[pathlib.Path]:
        """Gives a folder; outside of a test it is removed on the way out."""
        folder = pathlib.Path(tempfile.mkdtemp())
        try:
            yield folder
        finally:
            if self._folders is None:
                shutil.rmtree(folder, ignore_errors=True)
            else:
                self._folders.append(folder)

    def _keep(self, folder: pathlib.Path, name: str) -> None:
        self._kept.mkdir(parents=True, exist_ok=True)
        place = tempfile.mkdtemp(prefix=f"{name}-", dir=self._kept)
        shutil.copytree(folder, place, dirs_exist_ok=True)
        shutil.rmtree(folder, ignore_errors=True)
        print(f"Logs of the processes are kept in {place}", file=sys.stderr)
        for line in _find_pauses(pathlib.Path(place)):
            print(line, file=sys.stderr)


def _find_pauses(folder: pathlib.Path) -> list[str]:
    """Returns the lines in which processes say that they did not run."""
    found = [
        f"{log.stem}: {line}"
        for log in sorted(folder.glob("*.log"))
        for line in log.read_text(errors="replace").splitlines()
        if _PAUSE in line
    ]
    return found[:_MOST_PAUSES]


FOLDERS = KeptFolders()
