"""Tests of folders that outlive a test which fails."""

from __future__ import annotations

import contextlib
import io
import pathlib
import tempfile

from tests.support import kept_folders


def _write_log(folders: kept_folders.KeptFolders) -> pathlib.Path:
    with folders.open_folder() as folder:
        (folder / "host.log").write_text("one line")
    return folder


def test_folder_of_a_failed_test_is_kept() -> None:
    """The logs of processes are gone once a test judges what they did."""
    with tempfile.TemporaryDirectory() as name:
        kept = pathlib.Path(name) / "failed"
        folders = kept_folders.KeptFolders(kept)
        folders.begin_test()
        folder = _write_log(folders)
        folders.end_test("test_scene", failed=True)
        (place,) = kept.iterdir()
        assert place.name.startswith("test_scene-")
        assert (place / "host.log").read_text() == "one line"
        assert not folder.exists()


def test_pauses_of_processes_are_shown_when_a_test_fails() -> None:
    """Guards against a failure that can't be told from a busy machine."""
    shown = io.StringIO()
    with (
        tempfile.TemporaryDirectory() as name,
        contextlib.redirect_stderr(shown),
    ):
        folders = kept_folders.KeptFolders(pathlib.Path(name) / "failed")
        folders.begin_test()
        with folders.open_folder() as folder:
            log = "started\nThis process did not run for 2.00 s\n"
            (folder / "host.log").write_text(log)
        folders.end_test("test_scene", failed=True)
    assert "host: This process did not run for 2.00 s" in shown.getvalue()
    assert "started" not in shown.getvalue()


def test_folder_of_a_test_that_passes_is_removed() -> None:
    with tempfile.TemporaryDirectory() as name:
        kept = pathlib.Path(name) / "failed"
        folders = kept_folders.KeptFolders(kept)
        folders.begin_test()
        folder = _write_log(folders)
        assert folder.exists()
        folders.end_test("test_scene", failed=False)
        assert not kept.exists()
        assert not folder.exists()


def test_folder_outside_of_a_test_is_removed_at_once() -> None:
    folder = _write_log(kept_folders.KeptFolders())
    assert not folder.exists()
