"""Runs the forwarding application under trio and handles signals."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import logging
import signal
import time

import trio

from persimmonhinge import collector
from persimmonhinge.forwarding import application
from persimmonhinge.forwarding import core as core_module
from persimmonhinge.forwarding import refusals
from persimmonhinge.forwarding import reloading
from persimmonhinge.forwarding import settings_file
from persimmonhinge.forwarding import usage_reports
from persimmonhinge.store import port
from persimmonhinge.store import transport
from persimmonhinge.store import trio_transport

logger = logging.getLogger(__name__)

_SETTINGS_CHECK_INTERVAL_S = 2.0
_USAGE_CHECK_INTERVAL_S = 5.0

ReaderFactory = Callable[
    [
        Iterable[str],
        Callable[[str, int], transport.Transport],
        float,
        float,
        refusals.Refusals,
        Callable[[], bool],
    ],
    port.PlatformReader,
]


def run(
    core: core_module.ForwardCore,
    make_reader: ReaderFactory,
    file: settings_file.SettingsFile,
) -> None:
    """Runs a host until a planned stop is complete.

    Args:
        core: The parts of the host that need no event loop.
        make_reader: Creates a client of the store.
        file: The settings file, from which the settings of the host were read.
    """
    collector.relax()
    settings = core.settings
    store = make_reader(
        (settings.store.address,),
        trio_transport.TrioTransport,
        settings.call_limit_s,
        settings.watch_wait_s,
        core.refusals,
        core.knows_entries,
    )
    reloader = reloading.SettingsReloader(
        file, settings, core.peers, core.refusals
    )
    reports = usage_reports.UsageReports(settings.memory_limit_mb)
    app = application.ForwardApplication(core, store)
    trio.run(_run_host, app, reloader, reports)


async def _run_host(
    app: application.ForwardApplication,
    reloader: reloading.SettingsReloader,
    reports: usage_reports.UsageReports,
) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_handle_signals, app, reloader)
        nursery.start_soon(_watch_settings_file, reloader)
        nursery.start_soon(_report_usage, reports)
        await app.run()
        nursery.cancel_scope.cancel()


async def _handle_signals(
    app: application.ForwardApplication, reloader: reloading.SettingsReloader
) -> None:
    handled = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with trio.open_signal_receiver(*handled) as received:
        async for signal_number in received:
            if signal_number == signal.SIGHUP:
                reloader.reload()
            else:
                app.stop()


async def _watch_settings_file(reloader: reloading.SettingsReloader) -> None:
    """Reloads the settings file when it changes without a SIGHUP."""
    while True:
        await trio.sleep(_SETTINGS_CHECK_INTERVAL_S)
        if reloader.is_file_changed():
            reloader.reload()


async def _report_usage(reports: usage_reports.UsageReports) -> None:
    while True:
        reports.report(time.monotonic())
        await trio.sleep(_USAGE_CHECK_INTERVAL_S)
