"""Runs the operators' command line as processes, with hosts that answer."""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib
import dataclasses
import json
import pathlib
import subprocess
import sys
from typing import Any

import trio
from typer import testing
import yaml

from persimmonhinge import ids
from persimmonhinge.ctl import program
from persimmonhinge.metrics import page
from persimmonhinge.platform import opening as platform_opening
from persimmonhinge.store import keys
from persimmonhinge.store import port
from tests.standins import platform_process
from tests.support import kept_folders

_ROOT = pathlib.Path(__file__).parents[2]
_LIMIT_S = 60.0


@dataclasses.dataclass(frozen=True)
class Ended:
    """A command that ended."""

    code: int
    output: str
    errors: str

    def read(self) -> Any:
        """Returns its JSON result."""
        return json.loads(self.output)


class Ctl:
    """Starts commands against a stand-in for the platform.

    Attributes:
        platform: The stand-in.
        folder: A folder for files; it goes with the fixture.
    """

    def __init__(
        self, platform: platform_process.PlatformProcess, folder: pathlib.Path
    ) -> None:
        self.platform = platform
        self.folder = folder
        self.configure()

    def configure(self, **settings: Any) -> None:
        """Writes the settings file."""
        document = {
            "platform": {"endpoints": [self.platform.url], "timeout_s": 1.0},
            "operator": "anna",
            **settings,
        }
        text = yaml.safe_dump(document)
        (self.folder / "ctl.yaml").write_text(text)

    def write(self, name: str, document: Any, head: str = "") -> str:
        """Writes a YAML file; returns its path."""
        path = self.folder / name
        path.write_text(head + yaml.safe_dump(document))
        return str(path)

    async def run(self, *arguments: str) -> Ended:
        """Runs a command with JSON results, in a thread of this process."""
        return await self.run_plain("--output", "json", *arguments)

    async def run_plain(self, *arguments: str) -> Ended:
        """Runs a command in a thread of this process, one at a time."""
        runner = testing.CliRunner()
        with trio.fail_after(_LIMIT_S):
            done = await trio.to_thread.run_sync(
                runner.invoke,
                program.program,
                [*self._settings_option(), *arguments],
            )
        if done.exception and not isinstance(done.exception, SystemExit):
            raise done.exception
        return Ended(done.exit_code, done.stdout, done.stderr)

    async def run_process(self, *arguments: str) -> Ended:
        """Runs a command with JSON results, as a process."""
        command = [sys.executable, "-m", "persimmonhinge.cmd.ctl"]
        command += [*self._settings_option(), "--output", "json"]
        with trio.fail_after(_LIMIT_S):
            done: subprocess.CompletedProcess[bytes] = await trio.run_process(
                [*command, *arguments],
                check=False,
                capture_stdout=True,
                capture_stderr=True,
                cwd=_ROOT,
            )
        return Ended(
            done.returncode, done.stdout.decode(), done.stderr.decode()
        )

    def _settings_option(self) -> list[str]:
        return ["--config", str(self.folder / "ctl.yaml")]

    async def read_key(self, name: str) -> Any:
        """Reads a key of the deployment."""
        settings = self.platform.settings()
        async with platform_opening.open_store(settings) as platform:
            pair = await platform.get(settings.prefix + name)
        assert pair is not None
        return json.loads(pair.value)

    async def write_key(self, name: str, document: Any) -> None:
        """Writes a key of the deployment, as the platform itself would."""
        settings = self.platform.settings()
        write = port.Write(
            settings.prefix + name, json.dumps(document).encode()
        )
        async with platform_opening.open_store(settings) as platform:
            await platform.write_if((), (write,))


class FakeHost:
    """A host that tells what a test wants.

    Attributes:
        status: The page `/status`.
        route: The page `/explain`.
    """

    def __init__(self, name: str) -> None:
        self.status: dict[str, Any] = {
            "host": name,
            "domain": "hall-1",
            "incarnation": 1,
            "state": "alive",
            "ready": True,
            "contracts": {},
            "members": [],
            "upstreams": [],
        }
        self.route: dict[str, Any] = {}
        self._port = 0

    async def before_status(self) -> None:
        """Does what a test wants done when the host is asked."""

    async def run(self, ctl: Ctl, nursery: trio.Nursery) -> None:
        """Serves pages and stands in the platform's host list."""
        server = page.PageServer("127.0.0.1", 0)

        async def show_status(request: page.PageRequest) -> page.PageAnswer:
            await self.before_status()
            return page.make_json(self.status)

        async def show_route(request: page.PageRequest) -> page.PageAnswer:
            return page.make_json(self.route)

        server.pages.register("/status")(show_status)
        server.pages.register("/explain")(show_route)
        number: int = await nursery.start(server.run)
        self._port = number
        await self.enter(ctl, number)

    async def enter_again(self, ctl: Ctl) -> None:
        """Stands in the list again, after it was lost."""
        await self.enter(ctl, self._port)

    async def enter(self, ctl: Ctl, number: int) -> None:
        """Stands in the platform's host list with a port for its pages."""
        name = self.status["host"]
        listed = {
            "host": name,
            "domain": self.status["domain"],
            "address": "127.0.0.1",
            "metrics_port": number,
            "state": "live",
        }
        await ctl.write_key(keys.host_key("", ids.HostId(name)), listed)


@contextlib.asynccontextmanager
async def run_ctl() -> AsyncIterator[Ctl]:
    """Runs a stand-in for the platform, and gives commands against it."""
    with kept_folders.FOLDERS.open_folder() as folder:
        async with platform_process.run_platform() as platform:
            yield Ctl(platform, folder)


@contextlib.asynccontextmanager
async def run_hosts(ctl: Ctl, *names: str) -> AsyncIterator[list[FakeHost]]:
    """Runs hosts that answer."""
    hosts = [FakeHost(name) for name in names]
    async with trio.open_nursery() as nursery:
        for host in hosts:
            await host.run(ctl, nursery)
        yield hosts
        nursery.cancel_scope.cancel()
