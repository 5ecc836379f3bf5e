"""The fault-injecting proxy as a process.

Prints the port of its control port, on 127.0.0.1, as the first line. The
commands are in `faults_control`; `faults_client` speaks them. For example:

    {"do": "add-tcp", "name": "to-b", "target": ["127.0.0.1", 7001]}
    {"do": "set", "name": "to-b", "fault": {"delay_s": 0.1}}
    {"do": "set", "source": "127.0.0.2", "direction": "forward",
     "fault": {"cut": true}}
    {"do": "black-hole", "name": "to-b"}
    {"do": "clear"}
"""

from __future__ import annotations

import argparse

import trio

from tests.standins import faults_control as control
from tests.standins import faults_proxy
from tests.standins import starvation


async def run(seed: int) -> None:
    """Serves until cancelled."""
    listeners = await trio.open_tcp_listeners(0, host=faults_proxy.LOOPBACK)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(starvation.report_gaps)
        proxy = faults_proxy.FaultProxy(nursery, seed)
        server = control.ControlServer(proxy)
        print(listeners[0].socket.getsockname()[1], flush=True)
        await trio.serve_listeners(server.serve, listeners)


def main() -> None:
    """Reads the command line and serves until interrupted."""
    parser = argparse.ArgumentParser(description="A fault-injecting proxy.")
    parser.add_argument("--seed", type=int, default=0, help="of all faults")
    options = parser.parse_args()
    try:
        trio.run(run, options.seed)
    except KeyboardInterrupt:
        pass


if __name__ == "__main__":
    main()
