"""Programs that say on their first line how to reach them."""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib
import pathlib
import subprocess
import sys

import trio

_ROOT = pathlib.Path(__file__).parents[2]


@contextlib.asynccontextmanager
async def run_announced(module: str, *words: str) -> AsyncIterator[str]:
    """Runs a program, gives its first line, and ends it by its id.

    Args:
        module: Module of the program.
        words: Its arguments.

    Raises:
        RuntimeError: It ended before it had written the line.
    """
    process = await trio.lowlevel.open_process(
        [sys.executable, "-m", module, *words],
        cwd=_ROOT,
        stdout=subprocess.PIPE,
    )
    try:
        assert process.stdout is not None
        line = b""
        while not line.endswith(b"\n"):
            data = await process.stdout.receive_some(100)
            if not data:
                raise RuntimeError(f"{module} did not start")
            line += data
        yield line.decode().strip()
    finally:
        process.terminate()
        with trio.CancelScope(shield=True):
            await process.wait()
