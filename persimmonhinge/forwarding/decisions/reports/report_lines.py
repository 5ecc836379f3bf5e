"""Lines of a load report, which a host sends to other hosts."""

from __future__ import annotations

from persimmonhinge.forwarding import knowledge as knowledge_module
from persimmonhinge.forwarding import upstream_load
from persimmonhinge.forwarding.decisions.placement import loads as loads_module
from persimmonhinge.forwarding.decisions.upstream_health import (
    suspicions as suspicions_module,
)
from persimmonhinge.light_typing import TYPE_CHECKING

if TYPE_CHECKING:
    from persimmonhinge.forwarding.decisions.upstream_health import (
        quality as quality_module,
    )


def list_report_lines(
    knowledge: knowledge_module.Knowledge,
    loads: loads_module.LoadTable,
    suspicions: suspicions_module.Suspicions,
    now: float,
    quality: quality_module.UpstreamQuality | None = None,
) -> list[upstream_load.UpstreamLoad]:
    """Returns a line for each upstream with load, misses or open flows.

    Loads and suspicions of upstreams that were removed are deleted. Those of a
    former incarnation are not reported: other hosts would count them for its
    successor.

    Args:
        knowledge: The host's view of the platform, for the known upstreams.
        loads: Requests and open flows of this host at each upstream.
        suspicions: Opening packets of this host that were not answered.
        now: The current time, seconds.
        quality: Answers and troubles of upstreams at this host, if the host
            judges them.
    """
    lines = []
    for upstream in loads.list_used_upstreams():
        known = knowledge.directory.get(upstream)
        if known is None:
            loads.remove_upstream(upstream)
            suspicions.remove_upstream(upstream)
            if quality is not None:
                quality.remove_upstream(upstream)
            continue
        if knowledge.directory.has_successor(known):
            continue
        line = upstream_load.UpstreamLoad(
            known.token,
            loads.in_flight(upstream),
            round(loads.average(upstream) * 100),
            suspicions.count_misses_to_report(upstream, now),
            loads.count_open_flows(upstream),
        )
        if quality is not None:
            counts = quality.count_to_report(upstream, now)
            line = line._replace(
                answers=counts.answers,
                slowness=counts.slowness,
                troubles=counts.troubles,
            )
        if any(line[1:]):
            lines.append(line)
    return lines
