"""A target crashes and starts again under its id, cut off from the store."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

import client  # noqa: E402
import relay as relays  # noqa: E402
import scene as scenes  # noqa: E402

_HOSTS = 6
_TARGETS = 6
_CLIENTS = 6
_REBORN = "i-00000000a1"
_STEADY_S = 3.0
# The cut: its length, when the target crashes in it, and for how long.
_CUT_S = 2.0
_CRASH_AFTER_S = 0.3
_DOWN_S = 0.3
_AFTER_S = 1.0
# Pause of a client between two requests of a flow; a flow may be idle for 15 s.
_PAUSE_S = 8.0
_END_S = 2.5
_OPENINGS_PER_S = 60
_LIMIT_S = scenes.TIMEOUT_MS / 1000
_BORN_MS_PER_S = 1000


async def use_long_flow(flow: client.ClientFlow) -> None:
    """Opens a flow, sends a request, pauses, and sends another one."""
    if not await flow.open():
        return
    if await flow.request(f"{flow.name}-1", 20, _LIMIT_S, "POST") != "answered":
        return
    await asyncio.sleep(_PAUSE_S)
    await flow.request(f"{flow.name}-2", 20, _LIMIT_S, "POST")
    flow.close()


class Clients:
    """Clients that open long flows at a steady rate.

    Attributes:
        flows: All flows that they opened.
    """

    def __init__(
        self, scene: scenes.Scene, addresses: list[client.ClientAddress]
    ) -> None:
        self._scene = scene
        self._addresses = addresses
        self.flows: list[client.ClientFlow] = []
        self.tasks: list[asyncio.Task[None]] = []

    async def open_for(self, for_s: float) -> None:
        """Opens flows for a time, seconds."""
        ends_at = time.monotonic() + for_s
        while time.monotonic() < ends_at:
            address = self._addresses[len(self.flows) % len(self._addresses)]
            flow = client.ClientFlow(address, self._scene.route)
            self.flows.append(flow)
            self.tasks.append(asyncio.create_task(use_long_flow(flow)))
            await asyncio.sleep(1 / _OPENINGS_PER_S)


def tell_born() -> int:
    """Returns the Unix time in milliseconds."""
    return int(time.time() * _BORN_MS_PER_S)


async def cut_and_restart(
    scene: scenes.Scene, relay: relays.Relay, clients: Clients
) -> float:
    """Makes the disruption; returns when the cut had healed."""
    target = scene.targets[_REBORN]
    scene.note(f"{_REBORN} is cut off from the store")
    relay.is_cut = True
    await clients.open_for(_CRASH_AFTER_S)
    scene.signal(target, signal.SIGKILL)
    await clients.open_for(_DOWN_S)
    scene.start_target(
        _REBORN, scenes.ZONES[0], born=tell_born(), store=relay.address
    )
    await clients.open_for(_CUT_S - _CRASH_AFTER_S - _DOWN_S)
    relay.is_cut = False
    scene.note(f"{_REBORN} reaches the store again")
    return time.monotonic()


async def play(scene: scenes.Scene) -> list[str]:
    """Plays the case; returns the flows that a host reset."""
    for number in range(_HOSTS):
        scene.add_host(scenes.ZONES[number // 2])
    scene.put_state()
    relay = relays.Relay(scene.store.address)
    await relay.start(scene.relay_ip)
    for number in range(_TARGETS):
        identity = f"i-{0xA1 + number:010x}"
        store = relay.address if identity == _REBORN else scene.store.address
        scene.start_target(
            identity, scenes.ZONES[number // 2], born=tell_born(), store=store
        )
    await scene.start_hosts()
    routers = client.Routers(scene.entrances, scene.note)
    probing = asyncio.create_task(routers.run())
    addresses = [
        await scene.add_client(scenes.ZONES[number % 3], routers)
        for number in range(_CLIENTS)
    ]
    clients = Clients(scene, addresses)
    await clients.open_for(_STEADY_S)
    healed_at = time.monotonic()
    if scene.is_troubled:
        healed_at = await cut_and_restart(scene, relay, clients)
    await clients.open_for(_AFTER_S)
    await asyncio.sleep(_PAUSE_S + _END_S)
    for task in (probing, *clients.tasks):
        task.cancel()
    scene.note_logs("Upstream was restarted.")
    return list_broken(scene, clients.flows, healed_at)


def list_broken(
    scene: scenes.Scene, flows: list[client.ClientFlow], healed_at: float
) -> list[str]:
    """Returns the flows of a live, calm target that a host reset."""
    calm_at = healed_at + scenes.BOUNDS["StableMs"] / 1000
    held: dict[str, str] = {}
    for target in scene.targets.values():
        started_at = max(
            n["at"] for n in target.notes if n["event"] == "listens"
        )
        for note in target.notes:
            if note["event"] == "flow open" and note["at"] >= started_at:
                held[note["flow"]] = target.name
    return [
        f"{flow.name}, open at {held[flow.name]}, got a reset of a host "
        f"{flow.reset_at - healed_at:.3f} s after the last disturbance"
        for flow in flows
        if flow.name in held
        and flow.reset_by == "host"
        and flow.reset_at > calm_at
    ]


if __name__ == "__main__":
    sys.exit(scenes.run(FOLDER, play))
