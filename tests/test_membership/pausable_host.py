"""A program that runs only membership and prints its view of the hosts.

Usage: python -m tests.test_membership.pausable_host NAME SEED_PORT

Each line on standard output is a JSON array of the UDP port and an object
that maps each host name to the host's state and incarnation.
"""

from __future__ import annotations

import json
import random
import sys
import time

import trio

from tests.test_membership import hosts


async def _run(name: str, seed_port: int) -> None:
    seeds = []
    if seed_port:
        seed = hosts.make_seed(0)
        seed.update(address="127.0.0.1", heartbeat_port=seed_port)
        seeds = [seed]
    settings = hosts.make_settings(
        name, 0, seeds, address="127.0.0.1", heartbeat_port=0
    )
    incarnation = time.time_ns() // 1_000_000
    host = hosts.make_host(settings, incarnation, random.Random(name))
    async with trio.open_nursery() as nursery:
        port = await nursery.start(host.run)
        while True:
            version = host.view.changed.version
            members = {
                m.host: [m.state.value, m.incarnation] for m in host.view.all()
            }
            print(json.dumps([port, members]), flush=True)
            await host.view.changed.wait_beyond(version)


if __name__ == "__main__":
    trio.run(_run, sys.argv[1], int(sys.argv[2]))
