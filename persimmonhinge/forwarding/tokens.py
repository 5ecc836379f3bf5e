"""Routing tokens, which identify the upstream of a packet's flow."""

from __future__ import annotations

import xxhash

from persimmonhinge import ids

# Value in packets that have no routing token yet.
NO_TOKEN = 0


def compute_token(upstream_id: ids.UpstreamId) -> int:
    """Returns the routing token of an upstream, 32 bits and never `NO_TOKEN`.

    The token depends on the id alone. Each host can thus find the upstream of a
    flow that another host opened, also after a restart, and hosts don't have to
    exchange a table of flows.
    """
    return xxhash.xxh32_intdigest(upstream_id.encode()) or 1
