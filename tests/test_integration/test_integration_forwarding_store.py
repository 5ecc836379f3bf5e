"""Tests of hosts that forward packets while the store is in trouble."""

from __future__ import annotations

import trio

from tests.standins import forwarding_deployment as deployments
from tests.standins import packet_upstream
from tests.support import trios
from tests.test_integration import forwarding_scene as scenes


@trios.trio_test
async def test_host_that_starts_while_the_store_is_down_asks_its_peers() -> (
    None
):
    """A restarted host serves nobody until the store is back.

    The store goes down; a host is restarted; its neighbour knows all that it
    needs. Cause: the store was the only source.
    """
    async with scenes.run_scene(2) as scene:
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
    async with scenes.run_scene(2) as scene:
        await scene.start(0, 1)
        for host in scene.hosts:
            await scenes.wait_event(host, "Follows the store.")
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
    async with scenes.run_scene(2) as scene:
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
    async with scenes.run_scene(2) as scene:
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
        await scenes.wait_openings(scene, before + leaving.count_openings() + 1)


@trios.trio_test
async def test_drain_is_in_force_in_time_while_the_store_is_slow() -> None:
    async with scenes.run_scene(2) as scene:
        await scene.start(0, 1)
        await scene.store.set_faults(delay_s=0.4)
        leaving, staying = scene.upstreams
        await scene.deployment.put_upstream(leaving, "draining")
        await scene.check_drained(leaving, staying)


@trios.trio_test
async def test_hosts_serve_on_while_the_store_refuses_them() -> None:
    async with scenes.run_scene(2) as scene:
        await scene.start(0, 1)
        for status in (429, 503):
            await scene.store.set_faults(refuse_status=status)
            await trio.sleep(1.0)
            before = sum(scene.count_openings())
            await scene.open_flows(0, 5)
            await scene.open_flows(1, 5)
            await scenes.wait_openings(scene, before + 10)
