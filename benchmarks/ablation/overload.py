"""Scenario of bursts that demand more than all upstreams can serve."""

from __future__ import annotations

import math
import zlib

from benchmarks.ablation import play as plays
from benchmarks.ablation import scenario
from persimmonhinge import ids
from persimmonhinge import records
from persimmonhinge.forwarding import overload_settings
from tests.test_forwarding import scene as scenes

URGENT, NORMAL = "priority 1", "priority 2"
# Mean of the credit that answers after the target latency are worth, 0.1 to
# 0.3.
_LATE_CREDIT = 0.2
_GROUPS = (
    scenario.Group(URGENT, 0.65, _LATE_CREDIT, worth=2.0),
    scenario.Group(NORMAL, 0.55, _LATE_CREDIT, worth=1.0),
)
_WORK_S = {scenes.PORT: 0.072, scenes.OTHER_PORT: 0.055}
_LIMIT_S = 4.4
_DOMAINS = tuple(ids.DomainId(name) for name in ("north", "south", "west"))
_UPSTREAMS_EACH = 8
_SLOTS = 2 * _UPSTREAMS_EACH * len(_DOMAINS)
_USUAL_LOAD = 0.4
_URGENT_SHARE = 0.33
_MEAN_WORK_S = _URGENT_SHARE * 0.072 + (1 - _URGENT_SHARE) * 0.055
_USUAL_RATE = _USUAL_LOAD * _SLOTS / _MEAN_WORK_S
# Part of the requests that come on long flows.
_LONG_SHARE = 0.8
_LONG_REQUESTS = 12
_PAUSE_S = 4.0
# The callers of bursts come from a few of the addresses.
_ADDRESSES = tuple(scenes.CALLER + n for n in range(40))
_BURST_ADDRESSES = _ADDRESSES[:4]
# Bursts, seconds from the beginning: the whole traffic is 5 times the usual,
# that of priority 2 is 4.5 times, and the whole is 2.5 times while upstreams
# are dark. Their entries end as those of upstreams that stopped reporting do.
_BURST_S = 5.0
_ALL_S, _ALL_FACTOR = 5.0, 5.0
_NORMAL_S, _NORMAL_FACTOR = 15.0, 4.5
_LOSS_S, _LOSS_FACTOR = 25.0, 2.5
_LOST = _UPSTREAMS_EACH // 4
_ENDED_AFTER_S = 3.6
# What the budget of 8 KB a second within a failure domain allows for reports of
# 300 octets to seven hosts. Reports to other domains take as long here, which
# is more often than hosts send them.
_REPORT_S = 0.25


def _plan(play: plays.Play) -> None:
    both = (URGENT, NORMAL)
    _add_traffic(play, both, 1.0, _ADDRESSES)
    play.plan(_ALL_S, _add_burst, play, both, _ALL_FACTOR)
    play.plan(_NORMAL_S, _add_burst, play, (NORMAL,), _NORMAL_FACTOR)
    play.plan(_LOSS_S, _add_burst, play, both, _LOSS_FACTOR)
    for number in range(1, 1 + _LOST):
        lost = play.upstreams[number]
        play.plan(_LOSS_S, plays.set_dark, lost)
        play.plan(_LOSS_S + _ENDED_AFTER_S, play.end, lost)


def _add_burst(
    play: plays.Play, groups: tuple[str, ...], factor: float
) -> None:
    _add_traffic(play, groups, factor - 1.0, _BURST_ADDRESSES, _BURST_S)


def _add_traffic(
    play: plays.Play,
    groups: tuple[str, ...],
    factor: float,
    addresses: tuple[int, ...],
    for_s: float = math.inf,
) -> None:
    """Adds callers that send `factor` times the usual requests."""
    for group in groups:
        is_urgent = group == URGENT
        rate = _USUAL_RATE * factor
        rate *= _URGENT_SHARE if is_urgent else 1 - _URGENT_SHARE
        long = scenario.Kind(
            service_port=scenes.PORT if is_urgent else scenes.OTHER_PORT,
            requests=_LONG_REQUESTS,
            pause_s=_PAUSE_S,
            limit_s=_LIMIT_S,
            group=group,
            addresses=addresses,
            starts_with_pause=True,
        )
        short = records.replace(long, requests=1)
        for kind, part in ((long, _LONG_SHARE), (short, 1 - _LONG_SHARE)):
            play.add_callers(kind, round(rate * part * _PAUSE_S), for_s)


def _hash_port(port: int) -> int:
    """Spreads flows at random: demand differs between the hosts."""
    return zlib.crc32(port.to_bytes(2))


_ROUTES = tuple(
    records.replace(
        scenes.make_route(port, scenes.SERVICE),
        priority=priority,
        target_latency_s=group.target_s,
        timeout_s=_LIMIT_S,
    )
    for priority, (port, group) in enumerate(
        zip(_WORK_S, _GROUPS, strict=True), 1
    )
)
SCENARIO = scenario.Scenario(
    domains=_DOMAINS,
    hosts_each=8,
    upstream_domains=tuple(
        domain
        for domain in range(len(_DOMAINS))
        for _ in range(_UPSTREAMS_EACH)
    ),
    queue=8,
    max_queue_s=0.2,
    work_s=_WORK_S,
    groups=_GROUPS,
    hash_port=_hash_port,
    report_s=_REPORT_S,
    length_s=33.0,
    routes=_ROUTES,
    overload_control=overload_settings.OverloadSettings(
        admission="by-priority"
    ),
    plan=_plan,
)
