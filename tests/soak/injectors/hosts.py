"""Hosts that are killed, stand still, are stopped, and get new settings."""

from __future__ import annotations

import contextlib
import os
import signal
import time

import trio

from tests.soak import clocked_host
from tests.soak import plan as plans
from tests.soak import scene as scenes
from tests.soak.injectors import base
from tests.standins import forwarding_deployment as deployments

# A host that was told to stop has ended by then, seconds: the limit of its
# settings, and time for a busy machine.
_STOP_LIMIT_S = 6.0
_READY_LIMIT_S = 30.0
_READY_CHECK_S = 0.05
_MOST_STEP_S = 4000.0


async def _kill(
    scene: scenes.SoakScene, host: deployments.ForwardHost, down_s: float
) -> None:
    async with scene.locks[host.name]:
        with scene.disturbances.record(host.name):
            await host.stop(signal.SIGKILL)
            await trio.sleep(down_s)
            await _start(scene, host)


async def _start(
    scene: scenes.SoakScene, host: deployments.ForwardHost
) -> None:
    await scene.start_host(host)
    with trio.move_on_after(_READY_LIMIT_S):
        while not await scene.deployment.is_ready(host):
            await trio.sleep(_READY_CHECK_S)
        return
    scene.failures.append(f"{host.name} is not ready after its start")


@base.injectors.register(plans.FaultKind.KILL_HOST.value)
async def _kill_host(scene: scenes.SoakScene, fault: plans.Fault) -> None:
    await _kill(scene, base.find_host(scene, fault), fault.for_s)


@base.injectors.register(plans.FaultKind.KILL_ALL.value)
async def _kill_all(scene: scenes.SoakScene, fault: plans.Fault) -> None:
    async with trio.open_nursery() as nursery:
        for host in scene.deployment.hosts:
            nursery.start_soon(_kill, scene, host, fault.strength)


@base.injectors.register(plans.FaultKind.PAUSE_HOST.value)
async def _pause_host(scene: scenes.SoakScene, fault: plans.Fault) -> None:
    host = base.find_host(scene, fault)
    process = host.process
    if process is None:
        return
    with scene.disturbances.record(host.name):
        _signal(process, signal.SIGSTOP)
        try:
            await trio.sleep(fault.for_s)
        finally:
            _signal(process, signal.SIGCONT)


def _signal(process: trio.Process, number: signal.Signals) -> None:
    """Sends a signal, unless the process has ended meanwhile."""
    with contextlib.suppress(ProcessLookupError):
        process.send_signal(number)


async def _roll(scene: scenes.SoakScene, host: deployments.ForwardHost) -> None:
    async with scene.locks[host.name]:
        with scene.disturbances.record(host.name, planned=True):
            began_at = time.monotonic()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(scene.operator.probe_stopping, host)
                code = await host.end(_STOP_LIMIT_S)
            if code is None:
                # The platform kills what has not stopped within its limit.
                await host.stop(signal.SIGKILL)
            paused = scene.disturbances.is_disturbed(host.name, began_at)
            if code != 0 and not paused:
                text = f"{host.name} ended with {code} after SIGTERM"
                scene.failures.append(text)
            await _start(scene, host)


@base.injectors.register(plans.FaultKind.ROLL_HOST.value)
async def _roll_host(scene: scenes.SoakScene, fault: plans.Fault) -> None:
    await _roll(scene, base.find_host(scene, fault))


@base.injectors.register(plans.FaultKind.ROLL_ALL.value)
async def _roll_all(scene: scenes.SoakScene, _: plans.Fault) -> None:
    for host in scene.deployment.hosts:
        await _roll(scene, host)


@base.injectors.register(plans.FaultKind.RELOAD_HOST.value)
async def _reload_host(scene: scenes.SoakScene, fault: plans.Fault) -> None:
    host = base.find_host(scene, fault)
    level = "DEBUG" if fault.strength < 0.5 else "INFO"
    host.change_settings(log_level=level)
    if fault.place % 2 and host.process is not None:
        _signal(host.process, signal.SIGHUP)
    await trio.sleep(fault.for_s)


@base.injectors.register(plans.FaultKind.STEP_CLOCK.value)
async def _step_clock(scene: scenes.SoakScene, fault: plans.Fault) -> None:
    host = base.find_host(scene, fault)
    path = host.settings.with_suffix(clocked_host.CLOCK_SUFFIX)
    written = path.with_suffix(".new")
    written.write_text(str((fault.strength - 0.5) * _MOST_STEP_S))
    os.replace(written, path)
    await trio.sleep(fault.for_s)
    path.unlink(missing_ok=True)
