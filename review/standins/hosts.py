"""Hosts: the project's program, started as the deploy file says."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
import json
import os
import pathlib
import re
import signal
import tomllib
from typing import Any

from review.standins import record as records

ROOT = pathlib.Path(__file__).parents[2]
_ROLE = "forward"
# How soon the platform starts a process again that has ended.
_RESTART_S = 0.3
_SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
_PLACE = re.compile(r"\{\{([\w.]+)\|json\}\}")


class Host:
    """A machine that runs the role of the deploy file.

    Attributes:
        name: Its name.
        zone: Its zone.
        packet_address: Where it takes packets of clients.
        ready_address: Where it answers `GET /ready`.
        own_ends: How often its process ended by itself.
        starts: How often its process was started.
    """

    def __init__(
        self,
        fields: Mapping[str, Any],
        folder: pathlib.Path,
        record: records.Record,
    ) -> None:
        """Makes a machine whose process is not started yet.

        Args:
            fields: The fields of its settings, as DEPLOY.md names them.
            folder: Folder for its settings and its log.
            record: Receives starts and ends.
        """
        listen = fields["Listen"]
        self.name: str = fields["Node"]
        self.zone: str = fields["Zone"]
        self.packet_address = _split(listen["DatagramAddr"])
        self.ready_address = _split(listen["ReadyAddr"])
        self.own_ends = 0
        self.starts = 0
        self.log = folder / f"{self.name}.log"
        self._record = record
        self._settings = folder / f"{self.name}.yaml"
        role = _read_role()
        self._command: list[str] = role["run"].split()
        template = (ROOT / role["template"]).read_text()
        self._settings.write_text(_render(template, fields))
        self._process: asyncio.subprocess.Process | None = None
        self._is_stopping = False
        self._is_closed = False
        self._runner: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts its process, and starts it again whenever it has ended."""
        self._runner = asyncio.get_running_loop().create_task(self._run())

    def terminate(self) -> None:
        """Begins a planned stop: SIGTERM."""
        if self._process is not None and self._process.returncode is None:
            self._is_stopping = True
            self._record.write(f"{self.name} gets SIGTERM")
            self._process.send_signal(signal.SIGTERM)

    async def close(self) -> None:
        """Ends its process for good."""
        self._is_closed = True
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
        if self._runner is not None:
            await self._runner

    async def _run(self) -> None:
        while not self._is_closed:
            self._is_stopping = False
            self.starts += 1
            with self.log.open("ab") as log:
                self._process = await asyncio.create_subprocess_exec(
                    *self._command,
                    cwd=ROOT,
                    env=_make_environment(self._settings),
                    stdout=log,
                    stderr=log,
                )
            code = await self._process.wait()
            if self._is_closed:
                return
            if not self._is_stopping:
                self.own_ends += 1
                self._record.say(f"{self.name} ended by itself, code {code}")
            await asyncio.sleep(_RESTART_S)


def _make_environment(settings: pathlib.Path) -> dict[str, str]:
    kept = {n: os.environ[n] for n in ("PATH", "HOME") if n in os.environ}
    return {
        **kept,
        "LANG": "C.UTF-8",
        "PYTHONPATH": str(ROOT / "target" / "deps"),
        "PERSIMMONHINGE_NODE_FILE": str(settings),
    }


def _read_role() -> dict[str, Any]:
    text = (ROOT / "deploy" / "system.toml").read_text()
    role: dict[str, Any] = tomllib.loads(text)["roles"][_ROLE]
    return role


def _render(template: str, fields: Mapping[str, Any]) -> str:
    """Fills in a template of settings: sections of values, and `|json`."""

    def fill(text: str, current: Any) -> str:
        def replace(match: re.Match[str]) -> str:
            return json.dumps(_look_up(match[1], fields, current))

        return _PLACE.sub(replace, text.replace("{{.|json}}", str(current)))

    def open_section(match: re.Match[str]) -> str:
        value = _look_up(match[1], fields, None)
        return "" if value is None else fill(match[2], json.dumps(value))

    return fill(_SECTION.sub(open_section, template), None)


def _look_up(path: str, fields: Mapping[str, Any], current: Any) -> Any:
    value: Any = fields
    for name in path.split("."):
        if not isinstance(value, Mapping) or name not in value:
            return current
        value = value[name]
    return value


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
