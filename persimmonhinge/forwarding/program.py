"""Runs the application under trio, with its signals."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import logging
import signal

import trio

from persimmonhinge import collector
from persimmonhinge.forwarding import application
from persimmonhinge.forwarding import core as cores
from persimmonhinge.forwarding import reloading
from persimmonhinge.store import port
from persimmonhinge.store import transport as transports
from persimmonhinge.store import trio_transport

logger = logging.getLogger(__name__)

_SETTINGS_CHECK_S = 2.0

MakeReader = Callable[
    [
        Iterable[str],
        Callable[[str, int], transports.Transport],
        float,
        float,
    ],
    port.PlatformReader,
]


def run(core: cores.ForwardCore, make_reader: MakeReader, path: str) -> None:
    """Runs a host until a planned stop has ended.

    Args:
        core: The parts that need no event loop.
        make_reader: Makes a client of the store.
        path: The settings file.
    """
    collector.relax()
    settings = core.settings
    store = make_reader(
        (settings.store.address,),
        trio_transport.TrioTransport,
        settings.call_limit_s,
        settings.watch_wait_s,
    )
    reloader = reloading.Reloader(path, settings, core.peers)
    trio.run(_run, application.ForwardApplication(core, store), reloader)


async def _run(
    host: application.ForwardApplication, reloader: reloading.Reloader
) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_follow_signals, host, reloader)
        nursery.start_soon(_follow_settings, reloader)
        await host.run()
        nursery.cancel_scope.cancel()


async def _follow_signals(
    host: application.ForwardApplication, reloader: reloading.Reloader
) -> None:
    watched = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with trio.open_signal_receiver(*watched) as received:
        async for number in received:
            if number == signal.SIGHUP:
                reloader.reload()
            else:
                host.stop()


async def _follow_settings(reloader: reloading.Reloader) -> None:
    """Reads the settings file again when it changed without a signal."""
    while True:
        await trio.sleep(_SETTINGS_CHECK_S)
        if reloader.is_changed():
            reloader.reload()
