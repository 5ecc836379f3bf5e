"""A process that tests start and end by its id."""

from __future__ import annotations

import math
import os
import pathlib
import signal
import subprocess
import sys

import trio

ROOT = pathlib.Path(__file__).parents[2]
_POLL_S = 0.02
_START_LIMIT_S = 30.0
_STOP_LIMIT_S = 30.0
_TAIL_LINES = 15


class ChildError(Exception):
    """A process did not start, or ended when it should not."""


class Child:
    """A Python program that runs, with its output in a file.

    Attributes:
        name: Its name, for people.
        log: File with its standard output and standard error.
    """

    def __init__(
        self, name: str, process: trio.Process, log: pathlib.Path
    ) -> None:
        self.name = name
        self.log = log
        self._process = process

    @property
    def pid(self) -> int:
        """Its process id."""
        return self._process.pid

    @property
    def exit_code(self) -> int | None:
        """How it ended, None while it runs."""
        return self._process.poll()

    def send(self, number: signal.Signals) -> None:
        """Sends a signal, if it still runs."""
        if self.exit_code is None:
            self._process.send_signal(number)

    async def wait(self, limit_s: float = math.inf) -> int:
        """Waits for its end and returns its exit code.

        Raises:
            ChildError: It still runs after the time limit.
        """
        with trio.move_on_after(limit_s):
            return await self._process.wait()
        raise ChildError(f"{self.name} runs on after {limit_s} s")

    async def stop(self) -> int:
        """Ends it by SIGTERM, or by SIGKILL if that is of no use."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)
        try:
            return await self.wait(_STOP_LIMIT_S)
        except ChildError:
            return await self.kill()

    async def kill(self) -> int:
        """Ends it by SIGKILL."""
        self.send(signal.SIGKILL)
        return await self.wait()

    async def find_text(self, text: str) -> str:
        """Waits for a line of its output; returns what follows the text.

        Raises:
            ChildError: It ended, or the line did not come in time.
        """
        with trio.move_on_after(_START_LIMIT_S):
            while True:
                for line in self.read_log().splitlines():
                    _, found, rest = line.partition(text)
                    if found:
                        return rest
                self.check_running()
                await trio.sleep(_POLL_S)
        raise ChildError(f"{self.name} did not write {text!r}:\n{self.tail()}")

    def check_running(self) -> None:
        """Raises ChildError, with the end of its log, if it has ended."""
        if self.exit_code is not None:
            raise ChildError(
                f"{self.name} ended with {self.exit_code}:\n{self.tail()}"
            )

    def read_log(self) -> str:
        """Returns its output so far."""
        return self.log.read_text(encoding="utf-8", errors="replace")

    def tail(self) -> str:
        """Returns the last lines of its output."""
        return "\n".join(self.read_log().splitlines()[-_TAIL_LINES:])


async def start_child(
    name: str, module: str, arguments: list[str], folder: pathlib.Path
) -> Child:
    """Starts a module of this checkout as a process.

    It gets a session of its own, so that Ctrl-C reaches only the parent,
    which then ends its children in order.
    """
    log = folder / f"{name}.log"
    with log.open("ab") as output:
        process = await trio.lowlevel.open_process(
            [sys.executable, "-m", module, *arguments],
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=output,
            start_new_session=True,
            env={**os.environ, "PYTHONUNBUFFERED": "1"},
        )
    return Child(name, process, log)
