"""Tests of hosts that forward packets, as real processes."""

from __future__ import annotations

import os
import signal

import trio

from tests.standins import forwarding_deployment as deployments
from tests.standins import packet_upstream
from tests.support import trios
from tests.test_integration import forwarding_scene as scenes


@trios.trio_test
async def test_flow_goes_on_at_any_host_and_after_a_restart() -> None:
    """A price feed breaks when the host that opened it is killed.

    The feed is open; its host is killed at once and the fabric hands the next
    packets to another host, and to the first one again after its restart.
    Cause: what only a process knows.
    """
    async with scenes.run_scene(2) as scene:
        await scene.start(0, 1)
        await scene.open_flows(0, 1)
        await deployments.wait_until(
            lambda: sum(scene.count_openings()) >= 1, 5.0
        )
        first = next(u for u in scene.upstreams if u.received)
        token = first.last_token()
        await scene.hosts[0].stop(signal.SIGKILL)
        for host in (scene.hosts[1], scene.hosts[0]):
            if host.process is None:
                await host.start()
                await scene.deployment.wait_ready(host)
            seen = len(first.received)
            await scene.caller.send(
                host.address, 2001, packet_upstream.ACK, token=token, data=b"x"
            )
            await scenes.wait_longer(first.received, seen)
            assert first.received[-1][0] == first.number


@trios.trio_test
async def test_frozen_host_goes_on_when_it_wakes() -> None:
    async with scenes.run_scene(2) as scene:
        await scene.start(0, 1)
        process = scene.hosts[0].process
        assert process is not None
        process.send_signal(signal.SIGSTOP)
        leaving, staying = scene.upstreams
        await scene.deployment.put_upstream(leaving, "draining")
        await trio.sleep(2.0)
        process.send_signal(signal.SIGCONT)
        await scene.check_drained(leaving, staying)


@trios.trio_test
async def test_all_hosts_killed_at_once_serve_again() -> None:
    """Nobody is served for seconds after a loss of power.

    All hosts are killed at once and start again; packets come meanwhile.
    Cause: packets that come before a host is ready are lost.
    """
    async with scenes.run_scene(2) as scene:
        await scene.start(0, 1)
        for host in scene.hosts:
            await host.stop(signal.SIGKILL)
        for host in scene.hosts:
            await host.start()
        await deployments.wait_until(scene.takes_packets, 5.0)
        before = sum(scene.count_openings())
        await scene.open_flows(0, 3)
        await scene.open_flows(1, 3)
        await scenes.wait_openings(scene, before + 6)


@trios.trio_test
async def test_address_of_another_service_gets_no_flow_of_the_former() -> None:
    """A reservation reaches the intake service.

    An upstream ends; its address goes to an upstream of another service.
    Cause: flows that follow an address.
    """
    async with scenes.run_scene(1) as scene:
        await scene.start(0)
        first, second = scene.upstreams
        await scene.store.put(f"servers/{second.id}", None)
        await scenes.wait_event(scene.hosts[0], "Entry of an upstream ended.")
        await scene.open_flows(0, 1)
        await scenes.wait_openings(scene, 1)
        token = first.last_token()
        await scene.store.put(f"servers/{first.id}", None)
        await scene.deployment.put_upstream(
            packet_upstream.Renamed(first, 99), service="intake"
        )
        await trio.sleep(0.5)
        seen = len(first.received)
        for flags in (packet_upstream.ACK, packet_upstream.SYN):
            await scene.caller.send(
                scene.hosts[0].address,
                2001 + flags,
                flags,
                token=token,
                data=b"x",
            )
        await trio.sleep(0.5)
        assert len(first.received) == seen


@trios.trio_test
async def test_versions_in_quick_succession_are_in_force_at_all_hosts() -> None:
    async with scenes.run_scene(2) as scene:
        await scene.start(0, 1)
        for version in range(2, 30):
            await scene.deployment.put_state(version, 443, 1000 + version)
        await trio.sleep(scenes.DRAIN_LIMIT_S)
        for host in scene.hosts:
            before = len(scene.caller.resets)
            await scene.caller.send(
                host.address, 4000, packet_upstream.SYN, service_port=1029
            )
            await scene.caller.send(
                host.address, 4001, packet_upstream.SYN, service_port=1028
            )
            await scenes.wait_longer(scene.caller.resets, before)
            assert len(scene.caller.resets) == before + 1


@trios.trio_test
async def test_changed_settings_end_nothing() -> None:
    """A host ends when it is told that its settings changed.

    The operators change the file and send SIGHUP, at a time also with a bad
    file or without the signal. Cause: the default action of the signal.
    """
    async with scenes.run_scene(1) as scene:
        await scene.start(0)
        host = scene.hosts[0]
        assert host.process is not None
        good = host.settings.read_text()
        host.settings.write_text("host: [")
        host.process.send_signal(signal.SIGHUP)
        await scenes.wait_event(host, "Keeps the former settings")
        host.settings.write_text(
            good.replace('"seeds"', '"log_level": "DEBUG", "seeds"')
        )
        os.utime(host.settings, (1, 1))
        await scenes.wait_event(host, "Read the settings again.")
        await scene.open_flows(0, 1)
        await deployments.wait_until(
            lambda: sum(scene.count_openings()) >= 1, 5.0
        )


@trios.trio_test
async def test_hangup_during_the_start_ends_nothing() -> None:
    """A host is gone after its settings changed while it started.

    It has bound its socket and imports the rest of the program; SIGHUP comes.
    Cause: the default action until signals are followed.
    """
    async with scenes.run_scene(1) as scene:
        host = scene.hosts[0]
        await host.start()
        await deployments.wait_until(host.is_bound, 5.0)
        with trio.fail_after(10.0):
            while not await scene.deployment.is_ready(host):
                assert host.process is not None
                host.process.send_signal(signal.SIGHUP)
                await trio.sleep(0.01)
        await scene.open_flows(0, 1)
        await scenes.wait_openings(scene, 1)


@trios.trio_test
async def test_planned_stop_forwards_until_packets_stop() -> None:
    """A feed loses packets when its host is restarted on purpose.

    The host is told to stop; the fabric goes on sending packets for a second.
    Cause: the host ends at once.
    """
    async with scenes.run_scene(1) as scene:
        await scene.start(0)
        host = scene.hosts[0]
        assert host.process is not None
        before = sum(scene.count_openings())
        async with trio.open_nursery() as nursery:
            sent = await nursery.start(_send_until_cancelled, scene)
            host.process.send_signal(signal.SIGTERM)
            with trio.fail_after(5.0):
                while await scene.deployment.is_ready(host):
                    await trio.sleep(0.02)
            refused_after = len(sent)
            while len(sent) < refused_after + 20:
                await trio.sleep(0.02)
            nursery.cancel_scope.cancel()
        await deployments.wait_until(
            lambda: sum(scene.count_openings()) >= before + len(sent), 5.0
        )
        with trio.fail_after(10.0):
            assert await host.process.wait() == 0
        host.process = None


@trios.trio_test
async def test_hostile_packets_and_reports_end_nothing() -> None:
    async with scenes.run_scene(1) as scene:
        await scene.start(0)
        host = scene.hosts[0]
        sender = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
        peer_port = scene.deployment.peer_port
        for octets in (b"", b"\x00" * 35, b"\xff" * 36, b"\x93" * 1500):
            for port in (scene.deployment.packet_port, peer_port):
                await sender.sendto(octets, (host.address, port))
        await scene.open_flows(0, 3)
        await deployments.wait_until(
            lambda: sum(scene.count_openings()) >= 3, 5.0
        )
        sender.close()


async def _send_until_cancelled(
    scene: scenes.Scene, task_status: trio.TaskStatus[list[int]]
) -> None:
    """Opens a flow each 20 ms, as a fabric that has not yet heard of a stop.

    A host that is told to stop ends after 0.7 s without a packet, so packets
    must not wait for what else a test asks for.
    """
    sent: list[int] = []
    task_status.started(sent)
    while True:
        await scene.open_flows(0, 1)
        sent.append(1)
        await trio.sleep(0.02)
