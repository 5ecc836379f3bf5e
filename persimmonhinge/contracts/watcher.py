"""Follows the platform: reads all records, then watches for new ones."""

from __future__ import annotations

from collections.abc import Callable
import enum
import logging
import random

import trio

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.contracts import backoff
from persimmonhinge.contracts import history
from persimmonhinge.contracts import host_list as host_lists
from persimmonhinge.contracts import reading
from persimmonhinge.contracts import records as record_sets
from persimmonhinge.keys import rotation
from persimmonhinge.metrics import counts as host_counts
from persimmonhinge.peers.messages import control
from persimmonhinge.settings import entry
from persimmonhinge.store import keys
from persimmonhinge.store import port

logger = logging.getLogger(__name__)

_MOST_WAIT_FACTOR = 4
# A connection that held for so long was a success.
_STEADY_S = 10.0
# Time between looks at the revision of the store.
_WATCH_S = 10.0
_PARTS = (keys.TICKET_KEYS, keys.CONTRACTS, keys.HOST_DRAINS)


class PlatformState(enum.Enum):
    """How a host stands with the platform.

    IDLE: It does not hold the watch; other hosts of its domain do.
    CONNECTING: It has no watch yet, or lost it.
    FOLLOWING: It holds the watch.
    WENT_BACK: The platform shows an earlier state than was in force, and is
        not followed.
    """

    IDLE = "idle"
    CONNECTING = "connecting"
    FOLLOWING = "following"
    WENT_BACK = "went-back"


class Watcher:
    """Takes records from the platform while this host holds the watch.

    Attributes:
        state: How it stands with the platform.
        revision: Revision of the store up to which it was followed.
        history: What the platform lacks of what is in force.
    """

    def __init__(
        self,
        settings: entry.PlatformSettings,
        platform: port.Platform,
        records: record_sets.Records,
        publish: Callable[[control.Knowledge], None],
        set_ready: Callable[[], None],
        counts: host_counts.Counts,
        randomness: random.Random,
        host_list: host_lists.HostList | None = None,
    ) -> None:
        self._settings = settings
        self._host_list = host_list or host_lists.HostList(settings.prefix)
        self._platform = platform
        self._records = records
        self._publish = publish
        self._set_ready = set_ready
        self._counts = counts
        self._random = randomness
        self.state = PlatformState.IDLE
        self.revision = 0
        self._failed = False
        self.history = history.History(records)
        # What was read since the last beginning, and what was read up to the
        # end of the last time that a watch stood.
        self._session: history.Named = {}
        self._confirmed: history.Named = {}

    async def run(self) -> None:
        """Follows the platform until it is cancelled, through its outages."""
        first_s = self._settings.retry_interval_s
        waits = backoff.Backoff(
            first_s, first_s * _MOST_WAIT_FACTOR, self._random
        )
        self.state = PlatformState.CONNECTING
        try:
            while True:
                began = trio.current_time()
                await self._follow_once()
                if trio.current_time() - began > _STEADY_S:
                    waits.reset()
                await trio.sleep(waits.next_wait())
        finally:
            self.state = PlatformState.IDLE

    async def _follow_once(self) -> None:
        """Follows the platform until that fails."""
        try:
            start = await self._read()
            await self._follow(start)
        except errors.PlatformWentBackError as error:
            self._fail("went-back", error)
        except errors.PlatformUnavailableError as error:
            self._fail("unavailable", error)
        except errors.PlatformError as error:
            # Most likely the events to begin with are compacted: the next
            # time, what the platform lacks is judged without them.
            self.history.note_compacted()
            self._fail("refused", error)

    def _fail(self, cause: str, error: errors.PlatformError) -> None:
        self._counts.add("control_platform_failures_total", cause=cause)
        state = (
            PlatformState.WENT_BACK
            if isinstance(error, errors.PlatformWentBackError)
            else PlatformState.CONNECTING
        )
        # An outage of hours would otherwise fill the log.
        if state is not self.state or not self._failed:
            logger.warning("Platform is not followed: %s", error)
        self.state = state
        self._failed = True

    def _begin_following(self) -> None:
        self.state = PlatformState.FOLLOWING
        self._confirmed = self._session
        if self._failed:
            logger.info("Platform is followed again.")
        self._failed = False

    async def _read(self) -> int:
        """Takes in all records as they stand, by one call.

        All hosts that watch read at one time when the platform returns.

        Returns:
            Revision from which on the watch is to begin.
        """
        logger.info("Reads all records of the platform.")
        known = history.name_all(self._records.all())
        floor = max(self.revision, self._records.highest_revision())
        prefix = self._settings.prefix
        state = await self._get_prefix(prefix, after=prefix + keys.AFTER_AUDIT)
        history.check_revision(state.revision, floor)
        self._session = {}
        found = self._take_values(_select(state, prefix, _PARTS))
        self.revision = state.revision
        start = self.history.compare(
            known, self._confirmed, found, self.revision
        )
        await self._create_ring(found)
        self._host_list.replace(_select(state, prefix, (keys.HOSTS,)))
        self._set_ready()
        return start

    async def _get_prefix(
        self, prefix: str, limit: int = 0, after: str = ""
    ) -> port.PrefixState:
        self._count("get-prefix")
        return await self._platform.get_prefix(prefix, limit, after)

    async def _create_ring(
        self, found: dict[str, record_sets.Record | None]
    ) -> None:
        """Makes the ring of ticket keys if there was never one.

        All watchers may try at once; the condition lets one win, and the
        others read its ring from the watch.
        """
        if keys.TICKET_KEYS in found or self._records.keys.record.revision:
            return
        key = self._settings.prefix + keys.TICKET_KEYS
        body = rotation.write_body(rotation.make_ring())
        self._count("write-if")
        revision = await self._platform.write_if(
            (port.Compare(key, 0),), (port.Write(key, body),)
        )
        if revision is not None:
            logger.info("Made the ticket keys at revision %d.", revision)
            self._take_event(port.WatchEvent(key, body, revision))

    async def _follow(self, start: int) -> None:
        """Holds the watch, and looks now and then whether the store went back.

        Guards against a platform that was replaced by an older copy while a
        watch from a later revision waits: it would wait in silence until the
        copy has reached that revision, and miss all changes before.
        """
        while True:
            start = await self._watch(start)
            start = max(start, self.history.note_replayed() + 1)
            floor = self.revision
            state = await self._get_prefix(
                self._settings.prefix + keys.TICKET_KEYS, limit=1
            )
            history.check_revision(state.revision, floor)

    async def _watch(self, start: int) -> int:
        """Takes in changes for some time; returns where to go on."""
        life_s = _WATCH_S * self._random.uniform(0.75, 1.25)
        self._count("watch")
        with trio.move_on_after(life_s):
            async with self._platform.watch(
                self._settings.prefix, start
            ) as batches:
                self._begin_following()
                async for batch in batches:
                    start = max(start, self._take_batch(batch) + 1)
            raise errors.PlatformUnavailableError("ended", step="watch")
        return start

    def _take_batch(self, batch: tuple[port.WatchEvent, ...]) -> int:
        """Takes in changes; returns the revision of the last."""
        for event in batch:
            self._take_event(event)
        last = max((event.mod_revision for event in batch), default=0)
        self.revision = max(self.revision, last)
        return last

    def _take_event(self, event: port.WatchEvent) -> None:
        self._host_list.take_event(event)
        record = self._read_event(event)
        if record is not None:
            self._take_in([record])

    def _take_values(
        self, values: list[port.KeyValue]
    ) -> dict[str, record_sets.Record | None]:
        """Takes in keys as they stand; returns what they hold, by name."""
        found = {
            value.key.removeprefix(self._settings.prefix): self._read_event(
                port.WatchEvent(value.key, value.value, value.mod_revision)
            )
            for value in values
        }
        self._take_in([r for r in found.values() if r is not None])
        return found

    def _take_in(self, records: list[record_sets.Record]) -> None:
        self._session.update(history.name_all(records))
        news = record_sets.pack(records)
        self._publish(self._records.take_in(news, "platform"))

    def _read_event(self, event: port.WatchEvent) -> record_sets.Record | None:
        try:
            return reading.read_event(self._settings.prefix, event)
        except (errors.ContractError, errors.KeyRingError) as error:
            name = event.key.removeprefix(self._settings.prefix)
            self._records.refuse(
                name, ids.Revision(event.mod_revision), str(error)
            )
            return None

    def _count(self, kind: str) -> None:
        self._counts.add("control_platform_calls_total", kind=kind)


def _select(
    state: port.PrefixState, prefix: str, parts: tuple[str, ...]
) -> list[port.KeyValue]:
    """Returns the keys below some parts of a deployment."""
    beginnings = tuple(prefix + part for part in parts)
    return [v for v in state.values if v.key.startswith(beginnings)]
