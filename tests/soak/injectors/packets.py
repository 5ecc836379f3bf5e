"""Packets to hosts and upstreams that are lost or late."""

from __future__ import annotations

from tests.soak import plan as plans
from tests.soak import scene as scenes
from tests.soak.injectors import base
from tests.standins import faults_rules as rules
from tests.standins import forwarding_deployment as deployments

_LOST, _DOUBLED, _REORDERED = 0.2, 0.1, 0.2
# The most, seconds: below the time after which callers repeat.
_DELAY_S = 0.15


def _packets(scene: scenes.SoakScene, host: deployments.ForwardHost) -> str:
    return f"{scene.deployment.packet_port} {host.name}"


@base.injectors.register(plans.FaultKind.LOSE_PACKETS.value)
async def _lose_packets(scene: scenes.SoakScene, fault: plans.Fault) -> None:
    host = base.find_host(scene, fault)
    harm = rules.Fault(drop=_LOST, duplicate=_DOUBLED, reorder=_REORDERED)
    await base.harm_mapping(
        scene, host.name, _packets(scene, host), harm, fault.for_s
    )


@base.injectors.register(plans.FaultKind.CUT_PACKETS.value)
async def _cut_packets(scene: scenes.SoakScene, fault: plans.Fault) -> None:
    host = base.find_host(scene, fault)
    harm = rules.Fault(cut=True)
    await base.harm_mapping(
        scene, host.name, _packets(scene, host), harm, fault.for_s
    )


@base.injectors.register(plans.FaultKind.DELAY_PACKETS.value)
async def _delay_packets(scene: scenes.SoakScene, fault: plans.Fault) -> None:
    host = base.find_host(scene, fault)
    harm = rules.Fault(delay_s=_DELAY_S * fault.strength)
    await base.harm_mapping(
        scene, host.name, _packets(scene, host), harm, fault.for_s
    )


@base.injectors.register(plans.FaultKind.CUT_UPSTREAM.value)
async def _cut_upstream(scene: scenes.SoakScene, fault: plans.Fault) -> None:
    place = scene.places[fault.place % len(scene.places)]
    harm = rules.Fault(cut=True)
    await base.harm_mapping(scene, place.name, place.name, harm, fault.for_s)


@base.injectors.register(plans.FaultKind.DELAY_UPSTREAM.value)
async def _delay_upstream(scene: scenes.SoakScene, fault: plans.Fault) -> None:
    place = scene.places[fault.place % len(scene.places)]
    harm = rules.Fault(delay_s=_DELAY_S * fault.strength)
    await base.harm_mapping(scene, place.name, place.name, harm, fault.for_s)
