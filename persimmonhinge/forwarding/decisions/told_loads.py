"""What a host tells others of the upstreams that it uses."""

from __future__ import annotations

from persimmonhinge.forwarding import knowledge as knowledge_parts
from persimmonhinge.forwarding import upstream_load as load_lines
from persimmonhinge.forwarding.decisions import loads as load_books
from persimmonhinge.forwarding.decisions import suspicions as suspicion_lists


def list_lines(
    knowledge: knowledge_parts.Knowledge,
    loads: load_books.LoadBook,
    suspicions: suspicion_lists.Suspicions,
    now: float,
) -> list[load_lines.UpstreamLoad]:
    """Returns a line for each upstream with work of this host, or in doubt.

    What is kept of upstreams that are no more is dropped.

    Args:
        knowledge: The upstreams that are known.
        loads: The work of this host's flows.
        suspicions: The opening packets that this host missed.
        now: The time.
    """
    lines = []
    for upstream in loads.active():
        known = knowledge.directory.get(upstream)
        if known is None:
            loads.forget(upstream)
            suspicions.forget(upstream)
            continue
        line = load_lines.UpstreamLoad(
            known.token,
            loads.in_flight(upstream),
            round(loads.average(upstream) * 100),
            suspicions.doubt(upstream, now),
        )
        if line.in_flight or line.average or line.missed_openings:
            lines.append(line)
    return lines
