"""A small deployment on loopback: store, hosts, targets and clients."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import socket
import tempfile
from typing import Any

from review.standins import client as clients
from review.standins import fabric as fabrics
from review.standins import hosts as host_module
from review.standins import record as records
from review.standins import store as stores
from review.standins import target as targets

# Hosts by zone, as at `further/hinokuni-lb.toml`.
ZONES = {"zone-a": 2, "zone-b": 3, "zone-c": 1}
ROUTE = ("127.40.0.1", 8443)
SERVICE = "dispatch"
TARGETS = 7
SLOTS = 2
WORK_S = 0.022
CLIENT_DELAY_S = 0.003
HEARTBEAT_S = 0.77
# Clients with a patience of 2 s, as the site's long flows.
TIME_LIMIT_S = 2.0
_STORE_ADDRESS = "127.0.0.1"
_READY_LIMIT_S = 20.0
_PORTS = range(20_000, 29_000, 40)


@dataclasses.dataclass
class Deployment:
    """A running deployment.

    Attributes:
        store: The platform's store.
        hosts: The machines of the system.
        targets: The targets.
        clients: A machine with clients in each zone.
        fabric: The routers.
        record: Receives what happens.
    """

    store: stores.Store
    hosts: list[host_module.Host]
    targets: list[targets.Target]
    clients: list[clients.Client]
    fabric: fabrics.Fabric
    record: records.Record

    def put_config(self, version: int, routes: list[tuple[str, int]]) -> None:
        """Writes a desired state as the operator does."""
        config = {
            "Version": version,
            "Routes": [
                {
                    "Name": f"r-{port}",
                    "Host": host,
                    "Prefix": f"/{port}/",
                    "Kind": "idempotent",
                    "TimeoutMs": int(TIME_LIMIT_S * 1000),
                    "AimMs": 120,
                    "Priority": 2,
                    "Service": SERVICE,
                    "Attempts": 2,
                }
                for host, port in routes
            ],
            "Services": [
                {
                    "Name": SERVICE,
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
        }
        self.store.put("op/config", json.dumps(config).encode())
        self.record.say(f"version {version} confirmed")

    def find_target(self, key: targets.FlowKey) -> targets.Target | None:
        """Returns the target at which a flow has opened."""
        return next((t for t in self.targets if key in t.opened), None)


@contextlib.asynccontextmanager
async def run(
    record: records.Record, *, tells_born: bool = False
) -> AsyncIterator[Deployment]:
    """Gives a deployment whose hosts are all in rotation.

    Args:
        record: Receives what happens.
        tells_born: Whether entries of targets have the field `born`.
    """
    with tempfile.TemporaryDirectory() as folder:
        made = await _make(record, pathlib.Path(folder), tells_born)
        try:
            await _wait_in_rotation(made)
            yield made
        finally:
            made.fabric.stop()
            await asyncio.gather(*(host.close() for host in made.hosts))
            for part in (*made.targets, *made.clients):
                part.stop()
            made.store.stop()
            _keep_logs(made.hosts)


async def _make(
    record: records.Record, folder: pathlib.Path, tells_born: bool
) -> Deployment:
    addresses = [
        f"127.1{zone}.0.{number}"
        for zone, count in enumerate(ZONES.values())
        for number in range(1, count + 1)
    ]
    port = _find_ports(addresses)
    store = stores.Store()
    store_port = await store.start(_STORE_ADDRESS)
    zones = [zone for zone, count in ZONES.items() for _ in range(count)]
    hosts = [
        host_module.Host(
            _make_fields(zone, address, addresses, port, store_port),
            folder,
            record,
        )
        for zone, address in zip(zones, addresses, strict=True)
    ]
    fabric = fabrics.Fabric(hosts, record)
    made = Deployment(store, hosts, [], [], fabric, record)
    made.put_config(7, [ROUTE])
    for number in range(TARGETS):
        made.targets.append(
            targets.Target(
                _make_target_settings(number, port, tells_born),
                store,
                record,
                port,
                CLIENT_DELAY_S,
            )
        )
    for number, zone in enumerate(ZONES):
        made.clients.append(
            clients.Client(
                f"127.30.{number}.1", zone, port, CLIENT_DELAY_S, fabric, record
            )
        )
    for part in (*made.targets, *made.clients):
        await part.start()
    for host in hosts:
        host.start()
    fabric.start()
    return made


async def _wait_in_rotation(made: Deployment) -> None:
    async with asyncio.timeout(_READY_LIMIT_S):
        while made.fabric.count_in_rotation() < len(made.hosts):
            await asyncio.sleep(0.1)
    # Hosts hear each other's first reports.
    await asyncio.sleep(2.0)


def _make_target_settings(
    number: int, port: int, tells_born: bool
) -> targets.TargetSettings:
    zones = list(ZONES)
    return targets.TargetSettings(
        id=f"i-{random.getrandbits(40):010x}",
        service=SERVICE,
        zone=zones[number % len(zones)],
        address=(f"127.20.0.{number + 1}", port),
        slots=SLOTS,
        work_s=WORK_S,
        heartbeat_s=HEARTBEAT_S,
        born_ms=1_790_000_000_000 + number if tells_born else None,
    )


def _make_fields(
    zone: str, address: str, addresses: list[str], port: int, store_port: int
) -> dict[str, Any]:
    """Returns the fields of a machine's settings, as in DEPLOY.md."""
    return {
        "Node": f"edge-{zone}-{address.rpartition('.')[2]}",
        "Role": "forward",
        "Zone": zone,
        "Zones": dict.fromkeys(ZONES, "region"),
        "Listen": {
            "DatagramAddr": f"{address}:{port}",
            "ReadyAddr": f"{address}:{port + 1}",
            "Control": f"{address}:{port + 2}",
        },
        "InternalPorts": [port + 10, port + 25],
        "Seeds": [f"{seed}:{port + 2}" for seed in addresses[:3]],
        "Bounds": {
            "DrainMs": 3000,
            "ConfigApplyMs": 3000,
            "GraceS": 6,
            "FlowTtlS": 60,
        },
        "platform": {"Addr": f"{_STORE_ADDRESS}:{store_port}"},
    }


def _find_ports(addresses: list[str]) -> int:
    """Returns the first of some ports that are free at all addresses."""
    for port in random.sample(_PORTS, len(_PORTS)):
        if all(
            _is_free(address, port + offset, kind)
            for address in addresses
            for offset in (0, 1, 10, 11)
            for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM)
        ):
            return port
    raise RuntimeError("no free ports")


def _is_free(address: str, port: int, kind: socket.SocketKind) -> bool:
    with socket.socket(socket.AF_INET, kind) as probe:
        try:
            probe.bind((address, port))
        except OSError:
            return False
    return True


def _keep_logs(hosts: list[host_module.Host]) -> None:
    """Copies the hosts' logs to the folder in `KEEP_LOGS`, if it is set."""
    folder = os.environ.get("KEEP_LOGS")
    if folder:
        for host in hosts:
            path = pathlib.Path(folder) / host.log.name
            path.write_bytes(host.log.read_bytes())
