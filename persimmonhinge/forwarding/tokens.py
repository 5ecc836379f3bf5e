"""Routing tokens, which identify the upstream of a packet's flow."""

from __future__ import annotations

import xxhash

from persimmonhinge import ids

# Value in packets that have no routing token yet.
NO_TOKEN = 0


def compute_token(name: ids.UpstreamName, service: ids.ServiceName) -> int:
    """Returns the routing token of an upstream, 32 bits and never `NO_TOKEN`.

    Each host can thus find the upstream of a flow that another host opened,
    also after a restart, and hosts don't have to exchange a table of flows.

    The token does not depend on when the upstream started: a process that has
    just started accepts flows before the hosts learn of its start. A process
    of another service under the same name has another token.
    """
    return xxhash.xxh32_intdigest(f"{name}\n{service}".encode()) or 1
