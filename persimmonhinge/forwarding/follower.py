"""Reads the entries of the store and watches their changes."""

from __future__ import annotations

import logging
import math
import random
import time

import trio

from persimmonhinge import errors
from persimmonhinge.forwarding import entry_replica
from persimmonhinge.forwarding import refusals as refusals_module
from persimmonhinge.forwarding import store_failures
from persimmonhinge.forwarding.peers import follower_role
from persimmonhinge.metrics import counts
from persimmonhinge.store import port

logger = logging.getLogger(__name__)

# Maximum wait after a failed call in a small failure domain, seconds, and the
# number of doublings from the first wait to the maximum.
_MAX_RETRY_INTERVAL_S = 0.4
_RETRY_DOUBLINGS = 3
# Interval at which the hosts of a failure domain together call the store while
# it answers none of them, seconds. The first host that gets an answer reports
# it to the others.
_DOMAIN_RETRY_INTERVAL_S = 0.1
# Time in which a host that has just started receives reports on whether another
# host of its failure domain follows the store, seconds. The host has read all
# entries just before.
_DISCOVERY_DELAY_S = 0.8
_POLL_INTERVAL_S = 0.1
# Time for which a host keeps following the store after another one has taken
# over, seconds, so that a short gap in reports does not make the two alternate.
_HANDOVER_DELAY_S = 1.0
# Interval at which a host that could not reach the store calls it again while
# another host follows it, seconds.
_PROBE_INTERVAL_S = 2.0
_ALL_KEYS_PREFIX = ""


class Follower:
    """Reads all entries once, then watches their changes with one watch.

    If the watch times out or the store has dropped the history it needs, all
    entries are read again. While another host of the failure domain follows
    the store, this host does not call the store, except to check whether it
    has become reachable.

    Guards against a store that drops its history repeatedly: a following host
    would read all entries again immediately each time, and the store counts
    these calls and rejects callers that make too many. Also guards against one
    call for each upstream while the upstreams of a service change one after
    the other.
    """

    def __init__(
        self,
        store: port.PlatformReader,
        entries: entry_replica.EntryReplica,
        following: follower_role.FollowerRole,
        min_call_interval_s: float,
        refusals: refusals_module.Refusals | None = None,
    ) -> None:
        """Creates a follower; it reads nothing before `run` is called.

        Args:
            store: Client of the store.
            entries: Replica to which the entries are applied.
            following: Decides whether this host follows the store.
            min_call_interval_s: Time from a change to the next call of the
                watch, and minimum time between two reads of all entries,
                seconds.
            refusals: Records answers that are refused or fail unexpectedly;
                None for a record of its own.
        """
        self._store = store
        self._refusals = refusals or refusals_module.Refusals(counts.Counts())
        self._entries = entries
        self._following = following
        self._min_call_interval_s = min_call_interval_s
        self._failures = 0
        self._read_at = -math.inf

    async def run(self) -> None:
        """Follows the store whenever this host is due to, until cancelled."""
        if not self._entries.is_confirmed():
            await self._read_once()
        await trio.sleep(_DISCOVERY_DELAY_S)
        while True:
            if not self._following.should_follow(time.monotonic()):
                await self._wait_for_turn()
                continue
            logger.info("Follows the store.")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._follow_with_retries)
                await self._wait_until_not_due()
                nursery.cancel_scope.cancel()
            logger.info("Stopped following the store: another host does.")

    async def _read_once(self) -> None:
        """Reads all entries without the shorter time limit of the first read.

        Called if the read at startup, which has that limit, got no answer.
        """
        try:
            await self._entries.read_all(self._store)
        except Exception as error:
            self._record_failure(error)
            self._following.reaches_store = False

    async def _wait_for_turn(self) -> None:
        """Waits until this host may be due, or retries an unreachable store.

        A host that could not reach the store calls it again after a while, but
        only if it is next in order to follow. For any other host the call would
        be wasted: it finds out whether the store is reachable when it is due.
        """
        if not self._following.is_selected():
            self._following.reaches_store = True
        if self._following.reaches_store:
            await self._following.wait_for_change(time.monotonic())
            return
        with trio.move_on_after(_PROBE_INTERVAL_S):
            while not self._following.should_follow(time.monotonic()):
                await trio.sleep(_POLL_INTERVAL_S)
            return
        try:
            await self._store.get_prefix(self._entries.state_key)
        except Exception as error:
            self._record_failure(error)
        else:
            self._record_answer()

    async def _wait_until_not_due(self) -> None:
        last_due_at = time.monotonic()
        while time.monotonic() - last_due_at < _HANDOVER_DELAY_S:
            await trio.sleep(_POLL_INTERVAL_S)
            if self._following.should_follow(time.monotonic()):
                last_due_at = time.monotonic()

    async def _follow_with_retries(self) -> None:
        while True:
            started_at = trio.current_time()
            try:
                await self._read_and_watch()
            except errors.PlatformHistoryGoneError as error:
                logger.warning("Reading all store entries again: %s.", error)
                await trio.sleep_until(started_at + self._min_call_interval_s)
            except Exception as error:
                failed_at = time.monotonic()
                self._record_failure(error)
                self._following.reaches_store = False
                await trio.sleep(
                    self._next_retry_interval() * random.uniform(0.5, 1.0)
                )
                # Reads may succeed while all watches fail.
                await trio.sleep_until(
                    self._read_at + self._min_call_interval_s
                )
                await self._wait_while_another_follows(failed_at)

    async def _wait_while_another_follows(self, failed_at: float) -> None:
        """Waits while another host has reached the store since a failure.

        Guards against calls from all hosts of a failure domain when the store
        becomes available again. The first host that gets an answer reports it
        to the others, which are still following for a short time.
        """
        if self._following.has_other_follower_since(
            failed_at, time.monotonic()
        ):
            logger.info("Not calling the store: another host has reached it.")
        while self._following.has_other_follower_since(
            failed_at, time.monotonic()
        ):
            await trio.sleep(_POLL_INTERVAL_S)

    async def _read_and_watch(self) -> None:
        """Reads all entries and watches their changes.

        Guards against a host that misses all changes for as long as an item of
        the store can't be read: it watches from what it knows.
        """
        started_at = trio.current_time()
        try:
            revision = await self._entries.read_all(self._store)
        except errors.UnreadableAnswerError as error:
            self._read_at = started_at
            revision = self._entries.revision
            if not revision:
                raise
            self._record_failure(error)
        else:
            self._read_at = started_at
            self._record_answer()
        async with self._store.watch(_ALL_KEYS_PREFIX, revision + 1) as batches:
            called_at = trio.current_time()
            async for batch in batches:
                self._record_answer()
                self._entries.apply_batch(batch)
                next_call_at = trio.current_time() + self._min_call_interval_s
                if not batch:
                    self._entries.report_no_changes()
                    # A store that does not wait for changes must be paced, too.
                    next_call_at = called_at + self._min_call_interval_s
                await trio.sleep_until(next_call_at)
                called_at = trio.current_time()

    def _next_retry_interval(self) -> float:
        """Counts a failure; returns the maximum wait after it, seconds.

        Guards against calls from all hosts that keep the store overloaded: the
        more hosts a failure domain has, the longer each of them waits.
        """
        domain_interval_s = (
            self._following.count_domain_hosts() * _DOMAIN_RETRY_INTERVAL_S
        )
        max_interval_s = max(_MAX_RETRY_INTERVAL_S, domain_interval_s)
        doublings = min(self._failures, _RETRY_DOUBLINGS)
        self._failures += 1
        return max_interval_s * 2.0 ** (doublings - _RETRY_DOUBLINGS)

    def _record_failure(self, error: Exception) -> None:
        store_failures.record_failed_call(self._entries, self._refusals, error)

    def _record_answer(self) -> None:
        self._entries.record_answer()
        self._following.reaches_store = True
        self._failures = 0
