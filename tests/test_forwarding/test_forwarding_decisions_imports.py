"""Tests of what the decisions of a host import."""

from __future__ import annotations

import subprocess
import sys

# What a decision must not draw in: sockets, an event loop, a client of the
# store, the set-up of logs, and programs.
_FORBIDDEN = (
    "_socket",
    "trio",
    "httptools",
    "persimmonhinge.store",
    "persimmonhinge.platform",
    "persimmonhinge.structured_logs",
    "persimmonhinge.cmd",
)
_LIST_MODULES = """
import importlib, pkgutil, sys
from persimmonhinge.forwarding import decisions
for found in pkgutil.iter_modules(decisions.__path__):
    importlib.import_module(f"{decisions.__name__}.{found.name}")
print(*sorted(sys.modules), sep="\\n")
"""


def test_decisions_import_no_input_or_output() -> None:
    """A policy can't be replayed without a platform.

    A decision reads a socket or the store by itself; a benchmark of it needs
    real hosts, and what it decided can't be repeated. Cause: decisions and
    input or output in one module.
    """
    listed = subprocess.run(
        [sys.executable, "-c", _LIST_MODULES],
        capture_output=True,
        text=True,
        check=True,
    )
    found = [
        name
        for name in listed.stdout.splitlines()
        if name.startswith(_FORBIDDEN)
    ]
    assert found == []
