"""Follows the entries of the store."""

from __future__ import annotations

import logging
import math
import random
import time

import trio

from persimmonhinge import errors
from persimmonhinge.forwarding import reading
from persimmonhinge.forwarding.peers import follower_role as following_parts
from persimmonhinge.store import port

logger = logging.getLogger(__name__)

# Longest wait after a call that failed, seconds, and how often the first wait
# doubles until then.
_LAST_RETRY_S = 0.4
_DOUBLINGS = 3
# The hosts of a failure domain together ask once in so long, seconds, while
# the store answers none of them. The first that is answered tells the others.
_SHARED_RETRY_S = 0.1
# A host that has just started hears in this time, seconds, whether another one
# of its failure domain follows; all entries were read just before.
_HEAR_S = 0.8
_CHECK_S = 0.1
# How long a host goes on following after another one is there, seconds, so
# that a short silence does not make both begin and end in turn.
_STAND_DOWN_S = 1.0
# Time between questions of a host that the store refused while another one
# follows, seconds.
_ASK_AGAIN_S = 2.0
_EVERYTHING = ""


class Follower:
    """Reads all entries once, then follows their changes by one watch.

    A watch that falls silent or loses its history is replaced by a new read
    of everything. Where another host follows for this one, it does nothing.

    Guards against a store that drops its history again and again: a host that
    follows would read all entries anew at once each time; the store counts
    these calls, and refuses too many. Guards as well against a call for each
    upstream of a service whose upstreams change one after the other.
    """

    def __init__(
        self,
        store: port.PlatformReader,
        entries: reading.Entries,
        following: following_parts.FollowerRole,
        gather_s: float,
    ) -> None:
        """Makes the part; nothing is read before `run`.

        Args:
            store: Client of the store.
            entries: Where entries are taken in.
            following: Tells whether this host is to follow.
            gather_s: Time from a change to the next call of the watch, and
                least time between two readings of all entries, seconds.
        """
        self._store = store
        self._entries = entries
        self._following = following
        self._gather_s = gather_s
        self._failures = 0
        self._read_at = -math.inf

    async def run(self) -> None:
        """Follows while it is this host's turn, until cancelled."""
        if not self._entries.is_read():
            await self._read_once()
        await trio.sleep(_HEAR_S)
        while True:
            if not self._following.should_follow(time.monotonic()):
                await self._wait_for_turn()
                continue
            logger.info("Follows the store.")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._follow_always)
                await self._wait_until_relieved()
                nursery.cancel_scope.cancel()
            logger.info("Another host follows the store.")

    async def _read_once(self) -> None:
        """Reads all entries where the shorter limit before was too short."""
        try:
            await self._entries.read_all(self._store)
        except errors.PlatformError as error:
            self._entries.record_failure(error)
            self._following.reaches_store = False

    async def _wait_for_turn(self) -> None:
        """Waits a moment; a host that was refused asks if it still is.

        Only where it is next to follow: any other would spend a call on what
        it will find out once it is its turn.
        """
        if not self._following.is_selected():
            self._following.reaches_store = True
        if self._following.reaches_store:
            await self._following.wait_for_change(time.monotonic())
            return
        with trio.move_on_after(_ASK_AGAIN_S):
            while not self._following.should_follow(time.monotonic()):
                await trio.sleep(_CHECK_S)
            return
        try:
            await self._store.get_prefix(self._entries.state_key)
        except errors.PlatformError as error:
            self._entries.record_failure(error)
        else:
            self._record_answer()

    async def _wait_until_relieved(self) -> None:
        due_at = time.monotonic()
        while time.monotonic() - due_at < _STAND_DOWN_S:
            await trio.sleep(_CHECK_S)
            if self._following.should_follow(time.monotonic()):
                due_at = time.monotonic()

    async def _follow_always(self) -> None:
        while True:
            try:
                await self._follow()
            except errors.PlatformHistoryGoneError as error:
                logger.warning("Reads all entries again: %s.", error)
                await trio.sleep_until(self._read_at + self._gather_s)
            except errors.PlatformError as error:
                failed_at = time.monotonic()
                self._entries.record_failure(error)
                self._following.reaches_store = False
                await trio.sleep(self._next_retry() * random.uniform(0.5, 1.0))
                await self._wait_while_told(failed_at)

    async def _wait_while_told(self, failed_at: float) -> None:
        """Waits while another host has reached the store since a failure.

        Guards against calls of all hosts of a domain when the store returns:
        the first that is answered tells the others, which go on following for
        a moment.
        """
        if self._following.has_other_follower_since(
            failed_at, time.monotonic()
        ):
            logger.info("Does not call the store: another host reached it.")
        while self._following.has_other_follower_since(
            failed_at, time.monotonic()
        ):
            await trio.sleep(_CHECK_S)

    async def _follow(self) -> None:
        self._read_at = trio.current_time()
        revision = await self._entries.read_all(self._store)
        self._record_answer()
        async with self._store.watch(_EVERYTHING, revision + 1) as batches:
            async for batch in batches:
                self._record_answer()
                self._entries.take_batch(batch)
                if batch:
                    await trio.sleep(self._gather_s)
                else:
                    self._entries.tell_nothing_newer()

    def _next_retry(self) -> float:
        """Returns the longest wait after this failure in a row, seconds.

        Guards against a store that is kept down by the calls of all hosts: the
        more there are in a failure domain, the longer each of them waits.
        """
        shared_s = self._following.count_domain_hosts() * _SHARED_RETRY_S
        longest_s = max(_LAST_RETRY_S, shared_s)
        doublings = min(self._failures, _DOUBLINGS)
        self._failures += 1
        return longest_s * 2.0 ** (doublings - _DOUBLINGS)

    def _record_answer(self) -> None:
        self._entries.record_answer()
        self._following.reaches_store = True
        self._failures = 0
