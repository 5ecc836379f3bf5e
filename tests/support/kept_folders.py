"""Folders of a test that outlive it only if it fails."""

from __future__ import annotations

from collections.abc import Iterator
import contextlib
import pathlib
import shutil
import sys
import tempfile

_KEPT = pathlib.Path(__file__).parents[2] / "out" / "failed"


@contextlib.contextmanager
def open_folder(
    name: str, kept: pathlib.Path = _KEPT
) -> Iterator[pathlib.Path]:
    """Gives a temporary folder; it is kept if the block ends by an error.

    Args:
        name: What the name of the kept folder begins with.
        kept: Where it goes then.
    """
    with tempfile.TemporaryDirectory() as temporary:
        folder = pathlib.Path(temporary)
        try:
            yield folder
        except BaseException:
            _keep(folder, name, kept)
            raise


def _keep(folder: pathlib.Path, name: str, kept: pathlib.Path) -> None:
    kept.mkdir(parents=True, exist_ok=True)
    place = pathlib.Path(tempfile.mkdtemp(prefix=f"{name}-", dir=kept))
    shutil.copytree(folder, place, dirs_exist_ok=True)
    print(f"Logs of the processes are kept in {place}", file=sys.stderr)
