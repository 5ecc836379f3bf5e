"""Tests of the plugin that passes over listed red tests."""

from __future__ import annotations

import pathlib
import subprocess
import sys
import tempfile

_ROOT = pathlib.Path(__file__).parents[2]
_MODULE = """

def test_listed():
    raise ExceptionGroup("several", [ValueError("one")])
"""
_PASSING_MODULE = """

def test_listed():
    pass
"""
_LINE = (
    "test_red.test_listed, ended with a ValueError in each of 5 runs, issue 2, "
    "python -m nose2 test_red, no seed"
)


def run_listed(
    listed: bool, module: str = _MODULE
) -> subprocess.CompletedProcess[str]:
    """Runs a test, by default one that ends with an error, listed or not."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder)
        (path / "test_red.py").write_text(module)
        line = f"{_LINE}\n" if listed else ""
        (path / "KNOWN-RED.txt").write_text(line)
        start = (
            "import pathlib, sys\n"
            "from tests.support import known_red\n"
            f"known_red._LIST = pathlib.Path({str(path / 'KNOWN-RED.txt')!r})\n"
            "import nose2\n"
            "nose2.discover(argv=['nose2', '-c', sys.argv[1], '-s', '.', '-t',"
            " '.', 'test_red'])\n"
        )
        return subprocess.run(
            [sys.executable, "-c", start, str(_ROOT / "unittest.cfg")],
            cwd=folder,
            env={"PYTHONPATH": f"{_ROOT}:{folder}"},
            capture_output=True,
            text=True,
            check=False,
        )


def test_listed_test_that_ends_with_an_error_is_passed_over() -> None:
    """CI fails by a test that is on the list.

    The test ends with an error that is no failed assertion, as all do whose
    tasks end together. Cause: the runner expects failures only.
    """
    ended = run_listed(True)
    assert ended.returncode == 0, ended.stderr
    assert "KNOWN RED, passed over: test_red.test_listed" in ended.stderr
    assert "0 passed, 0 failed" in ended.stdout


def test_listed_test_that_fails_shows_its_traceback() -> None:
    """A fault stays untraced because its test hides how it failed."""
    ended = run_listed(True)
    assert "ValueError: one" in ended.stderr
    assert "in test_listed" in ended.stderr


def test_test_that_is_not_listed_fails() -> None:
    ended = run_listed(False)
    assert ended.returncode == 1
    assert "0 passed, 1 failed" in ended.stdout


def test_listed_test_that_passes_is_still_printed() -> None:
    """Guards against entries that nobody looks at once their test passes."""
    ended = run_listed(True, _PASSING_MODULE)
    assert ended.returncode == 0, ended.stderr
    assert f"KNOWN RED, passed in this run: {_LINE}" in ended.stderr
    assert "1 passed, 0 failed" in ended.stdout
