"""What an upstream stand-in is told on its command line."""

from __future__ import annotations

import dataclasses
import pathlib


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamSettings:
    """Settings of an upstream stand-in.

    Attributes:
        service: The only service that it works for.
        id: Its name in the contract.
        address: IP address that it binds.
        port: UDP port; 0 lets the kernel choose.
        slots: Requests that it runs at a time.
        connections: Feeds that it keeps open.
        log: File to which it appends a JSON line for each execution.
        run_time_ms: How long a request runs, milliseconds.
        feed_interval_ms: Time between ticks of the feed, milliseconds.
        seed: Seed of its message ids.
    """

    service: str
    id: str
    address: str
    port: int
    slots: int
    connections: int
    log: pathlib.Path
    run_time_ms: float = 40.0
    feed_interval_ms: int = 200
    seed: int = 1
