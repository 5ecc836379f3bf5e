"""A small deployment on loopback addresses, for the scripts of the cases.

Hosts are the project's own program, started with the command and the settings
template of the deploy file. All else are stand-ins. A scene writes its record
to `record.txt` in the folder of the case.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import importlib.util
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from types import ModuleType
from typing import Any

import client
import store

ROOT = pathlib.Path(__file__).resolve().parents[2]
_HERE = pathlib.Path(__file__).resolve().parent
# Bounds, places and the route as on the sheet of Tarangini Meterworks
# (`demands/tarangini-grid-grown.toml`), for a deployment of a few hosts.
BOUNDS = {
    "SeedLagS": 3,
    "AddrReuseS": 2,
    "StableMs": 5000,
    "AckMs": 8000,
    "CatchUpS": 6,
    "DrainMs": 5000,
    "GraceS": 6,
    "LossSlackMs": 200,
    "ConfigApplyMs": 5000,
    "RollbackSlackMs": 250,
    "MaxSkewMs": 15000,
    "RecoveryS": 15,
    "ReorderMs": 2000,
    "FlowTtlS": 60,
}
BEAT_MS = 770
ZONES = ("salt-lake", "howrah", "durgapur")
REGION = "bengal-east"
SERVICE = "meter-ingest"
TIMEOUT_MS = 5345
AIM_MS = 428
_READY_LIMIT_S = 20.0
BROKEN, HELD, NOT_RUN = 1, 0, 2


class CannotRunError(Exception):
    """The case can't run here."""


@dataclasses.dataclass
class Process:
    """A process of the scene.

    Attributes:
        name: Its name.
        command: Its command.
        running: The process; None while it does not run.
        notes: What a target has told, one entry a line.
    """

    name: str
    command: list[str]
    running: subprocess.Popen[bytes] | None = None
    notes: list[dict[str, Any]] = dataclasses.field(default_factory=list)


class Scene:
    """Hosts, targets, the store, the routers and clients.

    Attributes:
        is_troubled: False with `TROUBLE=0`, where no disruption is made.
        route: Address and port of the route.
        relay_ip: Address for relays.
        hosts: The hosts by name.
        targets: The targets by id.
        entrances: The hosts as the routers see them.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        """Starts the store and chooses addresses and ports.

        Args:
            folder: The folder of the case.
        """
        self.is_troubled = os.environ.get("TROUBLE", "1") != "0"
        self._began_at = time.monotonic()
        self._record = (folder / "record.txt").open("w")
        self._lock = threading.Lock()
        self._closed = False
        self._temporary = tempfile.TemporaryDirectory()
        self._files = pathlib.Path(self._temporary.name)
        net = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        self._net = net
        self.route = (f"{net}.200", 443)
        self.relay_ip = f"{net}.240"
        self.hosts: dict[str, Process] = {}
        self.targets: dict[str, Process] = {}
        self.entrances: list[client.Entrance] = []
        self._clients: list[str] = []
        self.store = store.Store(f"{net}.250", BEAT_MS / 1000, self.note)
        self._ports = _find_ports(net)
        self.version = 6
        kind = "with" if self.is_troubled else "without"
        self.note(f"scene {kind} the disruption, net {net}.0/24")

    def note(self, text: str, at: float | None = None) -> None:
        """Writes a line of the record."""
        elapsed_s = (at or time.monotonic()) - self._began_at
        with self._lock:
            if not self._closed:
                self._record.write(f"{elapsed_s:9.3f} {text}\n")
                self._record.flush()

    def put_state(self, **fields: Any) -> None:
        """Writes the next desired state, with one route.

        Args:
            **fields: Fields of the route that differ.
        """
        self.version += 1
        route = {
            "Name": "r-readings",
            "Host": self.route[0],
            "Prefix": f"/{self.route[1]}/",
            "Kind": "non_idempotent",
            "TimeoutMs": TIMEOUT_MS,
            "AimMs": AIM_MS,
            "Priority": 1,
            "Service": SERVICE,
            "Attempts": 2,
            **fields,
        }
        self.store.put(
            "op/config",
            {
                "Version": self.version,
                "Routes": [route],
                "Services": [
                    {
                        "Name": route["Service"],
                        "HealthPath": "/health",
                        "MaxConns": 2000,
                        "Protocol": "h1",
                        "Tls": False,
                    }
                ],
                "Limits": {
                    "MaxHeaderBytes": 16384,
                    "MaxBodyBytes": 262144,
                    "HeaderTimeoutMs": 3000,
                    "IdleTimeoutMs": 15000,
                },
            },
        )

    def add_host(self, zone: str) -> str:
        """Adds a host that is not yet started; returns its name."""
        number = len(self.hosts) + 1
        name = f"edge-{zone}-{1 + (number - 1) % 2}"
        ip = f"{self._net}.{number}"
        packets, pages, reports = self._ports
        fields = {
            "Node": name,
            "Role": "forward",
            "MachineClass": "edge",
            "Serves": ["edge", "control_plane"],
            "Ip": ip,
            "Zone": zone,
            "Region": REGION,
            "Zones": dict.fromkeys(ZONES, REGION),
            "Listen": {
                "DatagramAddr": f"{ip}:{packets}",
                "ReadyAddr": f"{ip}:{pages}",
                "Control": f"{ip}:{pages - 1}",
            },
            "InternalPorts": [reports, reports + 15],
            "Seeds": [f"{self._net}.{i}:{pages - 1}" for i in (1, 3, 5)],
            "Bootstrap": True,
            "Limits": {"MemoryMb": 300, "MaxFds": 4100},
            "HeartbeatMs": BEAT_MS,
            "Bounds": BOUNDS,
            "Hash": "mod",
            "Mode": "echo",
            "platform": {"Addr": self.store.address, "Mode": "kv"},
        }
        role = _read_role()
        template = (ROOT / role["template"]).read_text()
        settings = self._files / f"{name}.yaml"
        settings.write_text(_load_renderer().render(template, fields))
        self.hosts[name] = Process(name, role["run"].split())
        self.entrances.append(
            client.Entrance(name, zone, (ip, packets), (ip, pages))
        )
        return name

    def start_host(self, name: str) -> None:
        """Starts a host as the deploy file says."""
        host = self.hosts[name]
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PERSIMMONHINGE_NODE_FILE": str(self._files / f"{name}.yaml"),
        }
        with (self._files / f"{name}.log").open("ab") as log:
            host.running = subprocess.Popen(
                host.command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.note(f"host {name} starts: {' '.join(host.command)}")

    def start_target(
        self, identity: str, zone: str, *, born: int = 0, **options: Any
    ) -> Process:
        """Starts a target, or starts it again, and records what it tells."""
        target = self.targets.get(identity)
        if target is None:
            target = self.targets[identity] = Process(identity, [])
            ip = f"{self._net}.{100 + len(self.targets)}"
            target.command = [
                *(sys.executable, str(_HERE / "target.py"), "--id", identity),
                *("--zone", zone),
                *("--address", f"{ip}:{_find_port(ip, socket.SOCK_DGRAM)}"),
                *("--client-port", str(self._ports[0])),
                *("--beat-ms", str(BEAT_MS)),
            ]
        options = {
            "service": SERVICE,
            "born": born,
            "store": self.store.address,
            **options,
        }
        words = [
            word
            for key, value in options.items()
            for word in (f"--{key.replace('_', '-')}", str(value))
        ]
        running = subprocess.Popen(
            [*target.command, *words],
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
        )
        target.running = running
        threading.Thread(
            target=self._read_target, args=(target, running), daemon=True
        ).start()
        return target

    def _read_target(
        self, target: Process, running: subprocess.Popen[bytes]
    ) -> None:
        assert running.stdout is not None
        for line in running.stdout:
            document = json.loads(line)
            target.notes.append(document)
            fields = " ".join(
                f"{key}={value}"
                for key, value in document.items()
                if key not in ("at", "event")
            )
            text = f"target {target.name}: {document['event']} {fields}"
            self.note(text, document["at"])

    def signal(self, process: Process, number: signal.Signals) -> None:
        """Sends a signal to a process of the scene."""
        self.note(f"{number.name} to {process.name}")
        assert process.running is not None
        process.running.send_signal(number)

    async def wait_note(
        self, target: Process, event: str, since: float, limit_s: float = 10.0
    ) -> dict[str, Any]:
        """Waits for a line of a target; returns it."""
        ends_at = time.monotonic() + limit_s
        while time.monotonic() < ends_at:
            for document in target.notes:
                if document["event"] == event and document["at"] >= since:
                    return document
            await asyncio.sleep(0.01)
        raise CannotRunError(f"{target.name} did not tell: {event}")

    async def wait_draining(self, target: Process, since: float) -> float:
        """Returns when the store had accepted that a target drains."""
        ends_at = time.monotonic() + _READY_LIMIT_S
        while time.monotonic() < ends_at:
            for document in target.notes:
                if (
                    document["event"] == "checked in"
                    and document["state"] == "draining"
                    and document["at"] >= since
                ):
                    at: float = document["at"]
                    return at
            await asyncio.sleep(0.01)
        raise CannotRunError(f"{target.name} did not check in as draining")

    async def start_hosts(self) -> None:
        """Starts all hosts and waits until each is ready."""
        for name in self.hosts:
            self.start_host(name)
        ends_at = time.monotonic() + _READY_LIMIT_S
        for entrance in self.entrances:
            while not await client.ask_ready(entrance.page):
                if time.monotonic() > ends_at:
                    self.note_logs("Process ended.")
                    raise CannotRunError(f"{entrance.name} is not ready")
                await asyncio.sleep(0.05)
            entrance.misses = 0
        self.note("all hosts are ready")

    async def add_client(
        self, zone: str, routers: client.Routers
    ) -> client.ClientAddress:
        """Opens the socket of a client address."""
        ip = f"{self._net}.{150 + len(self._clients)}"
        self._clients.append(ip)
        loop = asyncio.get_running_loop()
        _, made = await loop.create_datagram_endpoint(
            lambda: client.ClientAddress(ip, zone, routers, self.note),
            local_addr=(ip, self._ports[0]),
        )
        return made

    def read_log(self, name: str, event: str) -> list[dict[str, Any]]:
        """Returns the lines of a host's log that hold an event."""
        found = []
        for line in (self._files / f"{name}.log").read_text().splitlines():
            with contextlib.suppress(ValueError):
                document = json.loads(line)
                if document.get("event") == event:
                    found.append(document)
        return found

    def note_logs(self, *events: str) -> None:
        """Copies lines of the hosts' logs into the record."""
        for name in self.hosts:
            for event in events:
                for document in self.read_log(name, event):
                    self.note(f"log of {name}: {json.dumps(document)}")

    def close(self) -> None:
        """Ends all processes that the scene started."""
        for process in [*self.hosts.values(), *self.targets.values()]:
            if process.running is not None and process.running.poll() is None:
                process.running.kill()
        for process in [*self.hosts.values(), *self.targets.values()]:
            if process.running is not None:
                process.running.wait()
        self._temporary.cleanup()
        with self._lock:
            self._closed = True
            self._record.close()


def run(folder: pathlib.Path, play: Any) -> int:
    """Plays a case; returns the exit code.

    Args:
        folder: The folder of the case.
        play: Coroutine function that takes the scene; returns what broke the
            rule, one text each.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    scene = None
    try:
        scene = Scene(folder)
        broken = asyncio.run(play(scene))
        for text in broken:
            scene.note(f"BROKEN: {text}")
        scene.note(f"end: {'broken' if broken else 'held'}")
        print(f"{folder.name}: {len(broken)} times broken")
        for text in broken[:5]:
            print(f"  {text}")
        return BROKEN if broken else HELD
    except (CannotRunError, OSError) as error:
        print(f"{folder.name}: can't run: {error}")
        if scene is not None:
            scene.note(f"can't run: {error}")
        return NOT_RUN
    finally:
        if scene is not None:
            scene.close()


def _read_role() -> dict[str, Any]:
    text = (ROOT / "deploy" / "system.toml").read_text()
    role: dict[str, Any] = tomllib.loads(text)["roles"]["forward"]
    return role


def _load_renderer() -> ModuleType:
    path = ROOT / "tests" / "standins" / "deploy_template.py"
    spec = importlib.util.spec_from_file_location("deploy_template", path)
    if spec is None or spec.loader is None:
        raise CannotRunError("no renderer of the settings template")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def _find_port(address: str, kind: int) -> int:
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((address, 0))
        port: int = probe.getsockname()[1]
        return port


def _find_ports(net: str) -> tuple[int, int, int]:
    """Returns ports of packets, pages and reports, the same at all hosts."""
    for _ in range(50):
        packets = random.randrange(20_000, 30_000)
        pages, reports = packets + 100, packets + 200
        if all(
            _is_free(f"{net}.{number}", port, kind)
            for number in (*range(1, 20), *range(150, 170))
            for port, kind in (
                (packets, socket.SOCK_DGRAM),
                (pages, socket.SOCK_STREAM),
                (reports, socket.SOCK_DGRAM),
                (reports + 1, socket.SOCK_STREAM),
            )
        ):
            return packets, pages, reports
    raise CannotRunError("no free ports")


def _is_free(address: str, port: int, kind: int) -> bool:
    with socket.socket(socket.AF_INET, kind) as probe:
        try:
            probe.bind((address, port))
        except OSError:
            return False
    return True
