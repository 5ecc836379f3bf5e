"""Callers that hold feeds open."""

from __future__ import annotations

import json
import logging
import random

import trio

from persimmonhinge import ids
from persimmonhinge.client import client as clients
from persimmonhinge.client import errors
from persimmonhinge.client import feed as client_feeds
from persimmonhinge.client import notification as notifications
from persimmonhinge.load import book as books
from persimmonhinge.load import feed_record
from persimmonhinge.settings import load as load_settings

logger = logging.getLogger(__name__)


class FeedHolder:
    """Holds one feed open and records its ticks."""

    def __init__(
        self,
        service: load_settings.ServiceLoad,
        load: load_settings.FeedLoad,
        number: int,
        settings: load_settings.LoadSettings,
        book: books.Book,
    ) -> None:
        self._service = service
        self._load = load
        self._settings = settings
        self._name = f"{service.service}{load.path}#{number}"
        self._record = feed_record.FeedRecord(
            ids.ServiceName(service.service), self._name, load.stall_s
        )
        book.feeds.append(self._record)

    async def run(self, delay_s: float, stop: trio.Event) -> None:
        """Holds the feed until it is told to stop.

        Args:
            delay_s: Time until the feed is opened, seconds.
            stop: Set when all feeds are to be closed.
        """
        await trio.sleep(delay_s)
        source = random.Random(f"{self._settings.seed}/{self._name}")
        async with (
            clients.open_client(
                self._service.address.as_pair(),
                settings=self._service.make_client(self._settings.client),
                random_source=source,
            ) as caller,
            caller.observe(self._load.path) as feed,
        ):
            await self._hold(feed, stop)

    async def _hold(self, feed: client_feeds.Feed, stop: trio.Event) -> None:
        cut_off = False
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_at, stop, nursery.cancel_scope)
            cut_off = await self._read(feed)
            nursery.cancel_scope.cancel()
        self._record.end(trio.current_time(), cut_off=cut_off)
        self._record.renewals = feed.renewals

    async def _read(self, feed: client_feeds.Feed) -> bool:
        """Takes in ticks until the service ends the feed."""
        try:
            async for notification in feed:
                self._take(notification)
        except errors.FeedEndedError as error:
            logger.warning("Feed %s ended: %s.", self._name, error)
        return True

    def _take(self, notification: notifications.Notification) -> None:
        try:
            tick = int(json.loads(notification.payload)["tick"])
        except (ValueError, KeyError, TypeError):
            logger.warning("Feed %s sent no tick.", self._name)
            return
        self._record.take(
            tick, trio.current_time(), renewed=notification.renewed
        )


async def _cancel_at(stop: trio.Event, scope: trio.CancelScope) -> None:
    await stop.wait()
    scope.cancel()
