"""The program `persimmonhinge-forward`: one host that forwards packets."""

from __future__ import annotations

import logging
import os
import pathlib
import signal
import socket
import sys

from persimmonhinge import errors
from persimmonhinge.forwarding import binding
from persimmonhinge.forwarding import settings as forward_settings

logger = logging.getLogger(__name__)

EXIT_BAD_SETTINGS = 2
SETTINGS_VARIABLE = "PERSIMMONHINGE_NODE_FILE"


def main() -> None:
    """Runs a host until SIGTERM, which is a planned stop.

    The settings file is named by the first argument or by the variable
    `PERSIMMONHINGE_NODE_FILE`.
    """
    path = pathlib.Path(
        sys.argv[1] if len(sys.argv) > 1 else os.environ[SETTINGS_VARIABLE]
    )
    try:
        settings = forward_settings.load(path)
        bound = binding.bind(forward_settings.parse_endpoint(settings.packets))
    except (errors.SettingsError, OSError) as error:
        print(f"error: {error}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    run_host(settings, bound)


def run_host(
    settings: forward_settings.ForwardSettings, bound: socket.socket
) -> None:
    """Imports the parts of the host and runs them."""
    import trio

    from persimmonhinge import collector
    from persimmonhinge import logs
    from persimmonhinge.forwarding import application
    from persimmonhinge.platform import adapter

    logs.configure(settings.host, settings.log_level)
    collector.relax()
    host = application.ForwardApplication(
        settings,
        bound,
        adapter.PacketFormat(),
        adapter.EntryFormat(),
        adapter.make_store(settings),
    )

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(follow_signals)
            await host.run()
            nursery.cancel_scope.cancel()

    async def follow_signals() -> None:
        watched = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        with trio.open_signal_receiver(*watched) as received:
            async for number in received:
                if number != signal.SIGHUP:
                    host.stop()

    trio.run(run)


if __name__ == "__main__":
    main()
