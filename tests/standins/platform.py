"""A stand-in for the platform's key-value service, for tests only.

It speaks the protocol of the users' store as far as the system uses it and
keeps all in memory. `GET /standin/counts` gives calls by kind; `POST
/standin/faults`, `/standin/snapshot` and `/standin/restore` make faults.
"""

from __future__ import annotations

import argparse
import functools
import signal

import trio

from tests.standins import platform_server
from tests.standins import starvation


async def serve(address: str, port: int) -> None:
    """Serves until a signal ends the process."""
    async with trio.open_nursery() as nursery:
        server = platform_server.Server(nursery)
        listeners = await trio.open_tcp_listeners(port, host=address)
        bound = listeners[0].socket.getsockname()
        print(f"listening on {bound[0]}:{bound[1]}", flush=True)
        nursery.start_soon(server.expire_leases)
        nursery.start_soon(starvation.report_gaps)
        nursery.start_soon(
            functools.partial(trio.serve_listeners, server.serve, listeners)
        )
        with trio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            await anext(signals)
        nursery.cancel_scope.cancel()


def main() -> None:
    """Reads the command line and serves."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    arguments = parser.parse_args()
    trio.run(serve, arguments.address, arguments.port)


if __name__ == "__main__":
    main()
