"""Tests of the line that builds the hosts on the platform."""

from __future__ import annotations

import os
import pathlib
import subprocess
import tempfile
import tomllib

_ROOT = pathlib.Path(__file__).parents[2]


def compile_modules(product: str, library: str) -> int:
    """Runs the build line without the download; returns the exit code."""
    text = (_ROOT / "deploy" / "system.toml").read_text()
    download, _, line = tomllib.loads(text)["build"].partition("&&")
    assert "pip install" in download
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        for path, source in (
            ("persimmonhinge", product),
            ("target/deps", library),
        ):
            (folder / path).mkdir(parents=True)
            (folder / path / "module.py").write_text(source)
            (folder / path / "other.py").write_text("x = 1")
        code = subprocess.run(
            line,
            shell=True,
            cwd=folder,
            env={"PATH": os.environ["PATH"]},
            stdout=subprocess.DEVNULL,
            check=False,
        ).returncode
        assert len(list(folder.rglob("other.*.opt-2.pyc"))) == 2 or code
        return code


def test_build_fails_for_a_broken_module_of_the_product_only() -> None:
    """Guards against a build that fails for one file of a library."""
    assert compile_modules("x = 1", "print 1") == 0
    assert compile_modules("print 1", "x = 1") != 0
