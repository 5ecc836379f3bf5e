"""Tests of folders that outlive a test which fails."""

from __future__ import annotations

import contextlib
import pathlib
import tempfile

from tests.support import kept_folders


def test_folder_of_a_failed_block_is_kept() -> None:
    """The logs of processes are gone when their test has failed."""
    with tempfile.TemporaryDirectory() as name:
        kept = pathlib.Path(name) / "failed"
        with contextlib.suppress(ValueError):
            with kept_folders.open_folder("scene", kept) as folder:
                (folder / "host.log").write_text("one line")
                raise ValueError
        (place,) = kept.iterdir()
        assert place.name.startswith("scene-")
        assert (place / "host.log").read_text() == "one line"
        assert not folder.exists()


def test_folder_of_a_block_that_ends_well_is_removed() -> None:
    with tempfile.TemporaryDirectory() as name:
        kept = pathlib.Path(name) / "failed"
        with kept_folders.open_folder("scene", kept) as folder:
            (folder / "host.log").write_text("one line")
        assert not kept.exists()
        assert not folder.exists()
