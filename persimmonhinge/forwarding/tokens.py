"""Routing tokens: from a packet to the upstream of its flow."""

from __future__ import annotations

import xxhash

from persimmonhinge import ids

# What packets carry that have no token yet.
NO_TOKEN = 0


def compute_token(upstream_id: ids.UpstreamId) -> int:
    """Returns the token of an upstream, 32 bits and never `NO_TOKEN`.

    It follows from the id alone, so that every host finds the upstream of a
    flow that another host opened, also after a restart, and no table of flows
    is passed on.
    """
    return xxhash.xxh32_intdigest(upstream_id.encode()) or 1
