"""Tests of hosts that forward packets, as real processes."""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib
import os
import signal
from typing import Any

import trio

from tests.standins import forwarding_deployment as deployments
from tests.standins import packet_upstream
from tests.support import trios

# The limit for an upstream that leaves, seconds: a new flow must not go there
# later.
_DRAIN_LIMIT_S = 3.0


class Scene:
    """A deployment with two upstreams and a caller."""

    def __init__(
        self,
        deployment: deployments.ForwardingDeployment,
        upstreams: list[packet_upstream.PacketUpstream],
        caller: packet_upstream.PacketCaller,
    ) -> None:
        self.deployment = deployment
        self.hosts = deployment.hosts
        self.store = deployment.store
        self.upstreams = upstreams
        self.caller = caller
        self._next_flow = 2000

    async def start(self, *numbers: int) -> None:
        """Starts hosts and waits until they are ready."""
        for number in numbers:
            await self.hosts[number].start()
        for number in numbers:
            await self.deployment.wait_ready(self.hosts[number])

    async def open_flows(self, number: int, count: int) -> None:
        """Sends opening packets to a host, of a new flow each."""
        for _ in range(count):
            self._next_flow += 1
            await self.caller.send(
                self.hosts[number].address,
                self._next_flow,
                packet_upstream.SYN,
            )
            await trio.sleep(0.005)

    async def check_drained(
        self,
        leaving: packet_upstream.PacketUpstream,
        staying: packet_upstream.PacketUpstream,
    ) -> None:
        """Checks that no host opens flows at an upstream that drains."""
        await trio.sleep(_DRAIN_LIMIT_S)
        before = leaving.count_openings()
        seen = staying.count_openings()
        for number in range(len(self.hosts)):
            await self.open_flows(number, 20)
        expected = seen + 20 * len(self.hosts)
        await deployments.wait_until(
            lambda: staying.count_openings() >= expected, 5.0
        )
        assert leaving.count_openings() == before

    async def wait_for_watches(self, count: int) -> None:
        """Waits until the store has had so many watches."""
        with trio.fail_after(5.0):
            while (await self.store.get_counts()).get("watch", 0) < count:
                await trio.sleep(0.02)

    def takes_packets(self) -> bool:
        """Tells whether the packet sockets of all hosts are bound."""
        return all(host.is_bound() for host in self.hosts)

    def count_openings(self) -> list[int]:
        """Returns the opening packets at each upstream."""
        return [upstream.count_openings() for upstream in self.upstreams]


@contextlib.asynccontextmanager
async def run_scene(count: int) -> AsyncIterator[Scene]:
    async with contextlib.AsyncExitStack() as stack:
        deployment = await stack.enter_async_context(
            deployments.run_deployment(count)
        )
        upstreams = await stack.enter_async_context(
            packet_upstream.run_upstreams(2)
        )
        caller = await stack.enter_async_context(
            packet_upstream.run_caller(deployment.packet_port)
        )
        await deployment.put_state(1)
        for upstream in upstreams:
            await deployment.put_upstream(upstream)
        yield Scene(deployment, upstreams, caller)


async def wait_openings(scene: Scene, count: int) -> None:
    """Waits until the upstreams have so many opening packets together."""
    await deployments.wait_until(
        lambda: sum(scene.count_openings()) >= count, 5.0
    )


async def wait_event(host: deployments.ForwardHost, event: str) -> None:
    """Waits until the log of a host tells of an event."""
    await deployments.wait_until(lambda: _has_event(host, event), 6.0)


async def wait_longer(kept: list[Any], length: int) -> None:
    """Waits until a list is longer than a length."""
    await deployments.wait_until(lambda: len(kept) > length, 5.0)


@trios.trio_test
async def test_flow_goes_on_at_any_host_and_after_a_restart() -> None:
    """A price feed breaks when the host that opened it is killed.

    The feed is open; its host is killed at once and the fabric hands the next
    packets to another host, and to the first one again after its restart.
    Cause: what only a process knows.
    """
    async with run_scene(2) as scene:
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
            await wait_longer(first.received, seen)
            assert first.received[-1][0] == first.number


@trios.trio_test
async def test_host_that_starts_while_the_store_is_down_asks_its_peers() -> (
    None
):
    """A restarted host serves nobody until the store is back.

    The store goes down; a host is restarted; its neighbour knows all that it
    needs. Cause: the store was the only source.
    """
    async with run_scene(2) as scene:
        await scene.start(0)
        await scene.store.set_faults(down=True)
        await scene.hosts[1].start()
        await scene.deployment.wait_ready(scene.hosts[1])
        await scene.open_flows(1, 4)
        await deployments.wait_until(
            lambda: sum(scene.count_openings()) >= 4, 5.0
        )


@trios.trio_test
async def test_drain_is_in_force_in_time_though_watches_went_silent() -> None:
    """An upstream that leaves gets new flows until it ends, which break.

    All watches are open and something on the way loses track of their
    connections; an upstream drains. No error shows. Cause: a host waits for
    an answer that will not come.
    """
    async with run_scene(2) as scene:
        await scene.start(0, 1)
        for host in scene.hosts:
            await wait_event(host, "Follows the store.")
        await scene.wait_for_watches(2)
        await scene.store.set_faults(silence_watches=True)
        leaving, staying = scene.upstreams
        await scene.deployment.put_upstream(leaving, "draining")
        await scene.check_drained(leaving, staying)


@trios.trio_test
async def test_drain_is_in_force_in_time_after_the_history_was_dropped() -> (
    None
):
    """An upstream that leaves gets new flows though the store answers.

    The store forgets its history, and the drain with it, while the watches
    wait. Cause: a watch goes on from where there is nothing to go on from.
    """
    async with run_scene(2) as scene:
        await scene.start(0, 1)
        await scene.store.set_faults(refuse_status=503)
        leaving, staying = scene.upstreams
        await scene.deployment.put_upstream(leaving, "draining")
        await scene.store.compact(1000)
        await scene.store.set_faults(refuse_status=0)
        await scene.check_drained(leaving, staying)


@trios.trio_test
async def test_host_that_is_cut_off_from_the_store_hears_from_others() -> None:
    """One host goes on with old news for as long as the store refuses it.

    It alone can't reach the store, from its start on; an upstream drains and
    hundreds of routes are added meanwhile. Cause: the store was the only
    source, and news too long for a datagram were not told.
    """
    async with run_scene(2) as scene:
        scene.hosts[1].change_settings(store={"address": "127.0.0.1:1"})
        await scene.start(0, 1)
        leaving, staying = scene.upstreams
        await scene.deployment.put_state(2, 443, *range(1000, 1500))
        await scene.deployment.put_upstream(leaving, "draining")
        await scene.check_drained(leaving, staying)
        before = staying.count_openings()
        await scene.caller.send(
            scene.hosts[1].address,
            4000,
            packet_upstream.SYN,
            service_port=1499,
        )
        await wait_openings(scene, before + leaving.count_openings() + 1)


@trios.trio_test
async def test_drain_is_in_force_in_time_while_the_store_is_slow() -> None:
    async with run_scene(2) as scene:
        await scene.start(0, 1)
        await scene.store.set_faults(delay_s=0.4)
        leaving, staying = scene.upstreams
        await scene.deployment.put_upstream(leaving, "draining")
        await scene.check_drained(leaving, staying)


@trios.trio_test
async def test_hosts_serve_on_while_the_store_refuses_them() -> None:
    async with run_scene(2) as scene:
        await scene.start(0, 1)
        for status in (429, 503):
            await scene.store.set_faults(refuse_status=status)
            await trio.sleep(1.0)
            before = sum(scene.count_openings())
            await scene.open_flows(0, 5)
            await scene.open_flows(1, 5)
            await wait_openings(scene, before + 10)


@trios.trio_test
async def test_frozen_host_goes_on_when_it_wakes() -> None:
    async with run_scene(2) as scene:
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
    async with run_scene(2) as scene:
        await scene.start(0, 1)
        for host in scene.hosts:
            await host.stop(signal.SIGKILL)
        for host in scene.hosts:
            await host.start()
        await deployments.wait_until(scene.takes_packets, 5.0)
        before = sum(scene.count_openings())
        await scene.open_flows(0, 3)
        await scene.open_flows(1, 3)
        await wait_openings(scene, before + 6)


@trios.trio_test
async def test_address_of_another_service_gets_no_flow_of_the_former() -> None:
    """A reservation reaches the intake service.

    An upstream ends; its address goes to an upstream of another service.
    Cause: flows that follow an address.
    """
    async with run_scene(1) as scene:
        await scene.start(0)
        first, second = scene.upstreams
        await scene.store.put(f"servers/{second.id}", None)
        await wait_event(scene.hosts[0], "Entry of an upstream ended.")
        await scene.open_flows(0, 1)
        await wait_openings(scene, 1)
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
    async with run_scene(2) as scene:
        await scene.start(0, 1)
        for version in range(2, 30):
            await scene.deployment.put_state(version, 443, 1000 + version)
        await trio.sleep(_DRAIN_LIMIT_S)
        for host in scene.hosts:
            before = len(scene.caller.resets)
            await scene.caller.send(
                host.address, 4000, packet_upstream.SYN, service_port=1029
            )
            await scene.caller.send(
                host.address, 4001, packet_upstream.SYN, service_port=1028
            )
            await wait_longer(scene.caller.resets, before)
            assert len(scene.caller.resets) == before + 1


@trios.trio_test
async def test_changed_settings_end_nothing() -> None:
    """A host ends when it is told that its settings changed.

    The operators change the file and send SIGHUP, at a time also with a bad
    file or without the signal. Cause: the default action of the signal.
    """
    async with run_scene(1) as scene:
        await scene.start(0)
        host = scene.hosts[0]
        assert host.process is not None
        good = host.settings.read_text()
        host.settings.write_text("host: [")
        host.process.send_signal(signal.SIGHUP)
        await wait_event(host, "Keeps the former settings")
        host.settings.write_text(
            good.replace('"seeds"', '"log_level": "DEBUG", "seeds"')
        )
        os.utime(host.settings, (1, 1))
        await wait_event(host, "Read the settings again.")
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
    async with run_scene(1) as scene:
        host = scene.hosts[0]
        await host.start()
        await deployments.wait_until(host.is_bound, 5.0)
        with trio.fail_after(10.0):
            while not await scene.deployment.is_ready(host):
                assert host.process is not None
                host.process.send_signal(signal.SIGHUP)
                await trio.sleep(0.01)
        await scene.open_flows(0, 1)
        await wait_openings(scene, 1)


@trios.trio_test
async def test_planned_stop_forwards_until_packets_stop() -> None:
    """A feed loses packets when its host is restarted on purpose.

    The host is told to stop; the fabric goes on sending packets for a second.
    Cause: the host ends at once.
    """
    async with run_scene(1) as scene:
        await scene.start(0)
        host = scene.hosts[0]
        assert host.process is not None
        host.process.send_signal(signal.SIGTERM)
        with trio.fail_after(5.0):
            while await scene.deployment.is_ready(host):
                await trio.sleep(0.02)
        before = sum(scene.count_openings())
        await scene.open_flows(0, 20)
        await deployments.wait_until(
            lambda: sum(scene.count_openings()) >= before + 20, 5.0
        )
        with trio.fail_after(10.0):
            assert await host.process.wait() == 0
        host.process = None


@trios.trio_test
async def test_hostile_packets_and_reports_end_nothing() -> None:
    async with run_scene(1) as scene:
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


def _has_event(host: deployments.ForwardHost, event: str) -> bool:
    return any(line["event"].startswith(event) for line in host.read_log())
