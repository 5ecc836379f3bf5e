"""What hosts tell each other is lost.

None of it counts as a disturbance of a host: it reaches the store, callers and
upstreams, and so is held to all limits.
"""

from __future__ import annotations

import itertools

import trio

from tests.soak import plan as plans
from tests.soak import scene as scenes
from tests.soak.injectors import base
from tests.standins import faults_rules as rules
from tests.standins import forwarding_deployment as deployments

_LOST, _DOUBLED, _REORDERED = 0.3, 0.2, 0.3
_CUT = rules.Fault(cut=True)
_LOSSY = rules.Fault(drop=_LOST, duplicate=_DOUBLED, reorder=_REORDERED)
# A host and the one that it hears nothing of.
_Pair = tuple[deployments.ForwardHost, deployments.ForwardHost]


async def _harm_pairs(
    scene: scenes.SoakScene,
    pairs: list[_Pair],
    harm: rules.Fault,
    for_s: float,
) -> None:
    await _set_all(scene, pairs, harm)
    await trio.sleep(for_s)
    await _set_all(scene, pairs, rules.NO_FAULT)


async def _set_all(
    scene: scenes.SoakScene, pairs: list[_Pair], harm: rules.Fault
) -> None:
    for hearer, teller in pairs:
        mapping = f"{scenes.PEERS} {hearer.name}"
        await scene.proxies.set(harm, mapping, source=teller.address)


@base.injectors.register(plans.FaultKind.CUT_PEERS.value)
async def _cut_peers(scene: scenes.SoakScene, fault: plans.Fault) -> None:
    host = base.find_host(scene, fault)
    others = [h for h in scene.deployment.hosts if h is not host]
    hears = [(host, other) for other in others]
    is_heard = [(other, host) for other in others]
    ways = (hears, is_heard, hears + is_heard)
    pairs = ways[int(fault.strength * 3) % len(ways)]
    await _harm_pairs(scene, pairs, _CUT, fault.for_s)


@base.injectors.register(plans.FaultKind.CUT_DOMAIN.value)
async def _cut_domain(scene: scenes.SoakScene, fault: plans.Fault) -> None:
    domain = scene.domains[base.find_host(scene, fault).name]
    pairs = [
        (hearer, teller)
        for hearer, teller in itertools.permutations(scene.deployment.hosts, 2)
        if (scene.domains[hearer.name] == domain)
        != (scene.domains[teller.name] == domain)
    ]
    await _harm_pairs(scene, pairs, _CUT, fault.for_s)


@base.injectors.register(plans.FaultKind.LOSE_REPORTS.value)
async def _lose_reports(scene: scenes.SoakScene, fault: plans.Fault) -> None:
    host = base.find_host(scene, fault)
    others = [h for h in scene.deployment.hosts if h is not host]
    pairs = [(host, other) for other in others]
    await _harm_pairs(scene, pairs, _LOSSY, fault.for_s)
