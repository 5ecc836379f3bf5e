"""Scenario of a deployment that is not overloaded, with failing upstreams."""

from __future__ import annotations

from benchmarks.ablation import play as plays
from benchmarks.ablation import scenario
from persimmonhinge import ids
from persimmonhinge import records
from tests.test_forwarding import scene as scenes

# The cleaning firm's dispatch: three failure domains with two hosts each, seven
# upstreams with two slots, about 190 requests a second, most on long flows.
_GROUP = "all"
_LONG = scenario.Kind(
    service_port=scenes.PORT,
    requests=12,
    pause_s=2.0,
    limit_s=2.0,
    group=_GROUP,
    addresses=(scenes.CALLER,),
)
_LONG_CALLERS = 290
_SHORT = records.replace(_LONG, requests=1, pause_s=0.9)
_SHORT_CALLERS = 40
_BURST = records.replace(_LONG, requests=1)
_BURST_CALLERS = 200
# Troubles, seconds from the beginning: two upstreams go dark, and their entries
# end; two cold ones come; one turns slow; more callers; no upstream at all.
_DARK_S = 5.0
_ENDED_S = 9.0
_COLD_S = 11.0
_COLD_FOR_S = 4.0
_COLD_SLOWNESS = 1.6
_SLOW_S = (17.0, 22.0)
_SLOWNESS = 5.0
_BURST_S = 25.0
_NONE_S = (32.0, 34.0)


def _plan(play: plays.Play) -> None:
    play.add_callers(_LONG, _LONG_CALLERS)
    play.add_callers(_SHORT, _SHORT_CALLERS)
    first, second, slow = (play.upstreams[n] for n in (1, 4, 6))
    for dark in (first, second):
        play.plan(_DARK_S, plays.set_dark, dark)
        play.plan(_ENDED_S, play.end, dark)
    for domain in (0, 1):
        play.plan(
            _COLD_S, play.add_upstream, domain, _COLD_FOR_S, _COLD_SLOWNESS
        )
    play.plan(_SLOW_S[0], plays.set_slowness, slow, _SLOWNESS)
    play.plan(_SLOW_S[1], plays.set_slowness, slow, 1.0)
    play.plan(_BURST_S, play.add_callers, _BURST, _BURST_CALLERS)
    play.plan(_NONE_S[0], _end_all, play)
    play.plan(_NONE_S[1], play.add_upstreams)


def _end_all(play: plays.Play) -> None:
    for upstream in play.upstreams.values():
        plays.set_dark(upstream)
        play.end(upstream)


def _hash_port(port: int) -> int:
    """Spreads flows over hosts in turn; any large odd factor does."""
    return port * 2_654_435_761


SCENARIO = scenario.Scenario(
    domains=tuple(ids.DomainId(name) for name in ("north", "south", "west")),
    hosts_each=2,
    upstream_domains=(0, 0, 0, 1, 1, 2, 2),
    queue=12,
    max_queue_s=None,
    work_s={scenes.PORT: 0.024},
    groups=(scenario.Group(_GROUP, target_s=0.12, late_credit=0.1),),
    hash_port=_hash_port,
    report_s=0.1,
    length_s=40.0,
    routes=(),
    overload_control=None,
    plan=_plan,
)
