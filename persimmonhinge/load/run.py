"""One run of load, from the first feed to the last answer."""

from __future__ import annotations

import logging
import random
import time

import trio

from persimmonhinge import ids
from persimmonhinge.load import book as books
from persimmonhinge.load import feeds
from persimmonhinge.load import requests
from persimmonhinge.settings import load as load_settings

logger = logging.getLogger(__name__)


class LoadRun:
    """Runs the callers of all services.

    Attributes:
        book: What the callers saw.
    """

    def __init__(self, settings: load_settings.LoadSettings) -> None:
        self.book = books.Book()
        for service in settings.services:
            self.book.upstreams[ids.ServiceName(service.service)] = tuple(
                ids.UpstreamId(upstream) for upstream in service.upstreams
            )
        self._settings = settings
        self._stop = trio.Event()

    def stop(self) -> None:
        """Ends the run early: what is sent is waited for."""
        self._stop.set()

    async def run(self) -> None:
        """Opens the feeds, sends the requests, and closes the feeds."""
        settings = self._settings
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._report_progress)
            async with trio.open_nursery() as holders:
                self._open_feeds(holders)
                await self._wait(settings.ramp_s)
                self.book.started_at = time.time()
                await self._send_requests()
                self.book.ended_at = time.time()
                self._stop.set()
            await trio.sleep(settings.settle_s)
            nursery.cancel_scope.cancel()

    async def _wait(self, limit_s: float) -> None:
        with trio.move_on_after(limit_s):
            await self._stop.wait()

    def _open_feeds(self, nursery: trio.Nursery) -> None:
        """Opens the feeds at random times of the ramp."""
        source = random.Random(f"{self._settings.seed}/ramp")
        for service in self._settings.services:
            for load in service.feeds:
                for number in range(load.count):
                    holder = feeds.FeedHolder(
                        service, load, number, self._settings, self.book
                    )
                    delay_s = source.uniform(0, self._settings.ramp_s)
                    nursery.start_soon(holder.run, delay_s, self._stop)

    async def _send_requests(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._wait, self._settings.duration_s)
            for service in self._settings.services:
                for load in service.requests:
                    source = requests.RequestSource(
                        service, load, self._settings, self.book, self._stop
                    )
                    nursery.start_soon(source.run)

    async def _report_progress(self) -> None:
        start_s = trio.current_time()
        while True:
            await trio.sleep(self._settings.progress_s)
            passed_s = trio.current_time() - start_s
            logger.info("%.0f s: %s.", passed_s, self.book.describe())
