"""The registry of injectors, and what they share."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable

import trio

from persimmonhinge import registry
from tests.soak import plan as plans
from tests.soak import scene as scenes
from tests.soak import upstreams
from tests.standins import faults_rules as rules
from tests.standins import forwarding_deployment as deployments

# These places never lose their upstream, so that each service has two live
# ones at any time.
LASTING_PLACES = 6

Injector = Callable[[scenes.SoakScene, plans.Fault], Awaitable[None]]
injectors: registry.Registry[Injector] = registry.Registry("injector")


async def inject(scene: scenes.SoakScene, fault: plans.Fault) -> None:
    """Makes a fault, and ends it after its time."""
    await injectors.get(fault.kind.value)(scene, fault)


def find_host(
    scene: scenes.SoakScene, fault: plans.Fault
) -> deployments.ForwardHost:
    """Returns the host that a fault is for."""
    hosts = scene.deployment.hosts
    return hosts[fault.place % len(hosts)]


def find_spare_place(
    scene: scenes.SoakScene, fault: plans.Fault
) -> upstreams.UpstreamPlace | None:
    """Returns a place that may lose its upstream, None if there is none."""
    places = scene.places[LASTING_PLACES:]
    return places[fault.place % len(places)] if places else None


async def harm_mapping(
    scene: scenes.SoakScene,
    what: str,
    mapping: str,
    fault: rules.Fault,
    for_s: float,
    direction: rules.Direction | None = None,
) -> None:
    """Does harm to a mapping of the proxy for a time.

    Args:
        scene: All that runs.
        what: Name of the host or upstream that is disturbed by it.
        mapping: Name of the mapping.
        fault: What is wrong with it.
        for_s: How long, seconds.
        direction: Which way; None for both.
    """
    with scene.disturbances.record(what):
        await scene.proxies.set(fault, mapping, direction=direction)
        try:
            await trio.sleep(for_s)
        finally:
            await scene.proxies.set(
                rules.NO_FAULT, mapping, direction=direction
            )
