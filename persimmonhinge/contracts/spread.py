"""Spreads records between hosts: news at once, and exchanges for the rest."""

from __future__ import annotations

import logging
import random
from typing import TypeVar

import trio

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.contracts import differences as difference_logs
from persimmonhinge.contracts import freshness as freshness_parts
from persimmonhinge.contracts import partners as partner_choice
from persimmonhinge.contracts import records as record_sets
from persimmonhinge.metrics import counts as host_counts
from persimmonhinge.peers import network as networks
from persimmonhinge.peers.messages import base
from persimmonhinge.peers.messages import control

logger = logging.getLogger(__name__)

M = TypeVar("M", bound=base.Message)

_INTERVAL_S = 1.0
# Until it is ready, a host asks more often.
_FIRST_INTERVAL_S = 0.2
_JITTER = 0.25
_TIMEOUT_S = 1.0
# Another host is asked if one has not answered for so long: more than two
# regions are apart, and more than a packet takes that is sent once more.
_PATIENCE_S = 0.3

# More records than this come from a first synchronization or a healed cut:
# exchanges carry them, and each host gets them once.
_MOST_NEWS_RECORDS = 8


class Spread:
    """Passes on what is new, and compares with one other host each second.

    News goes to a few partners at once, which pass it on: it reaches nearly
    all hosts in O(log n) steps. What is lost on the way is found by the
    exchange: two hosts compare a digest of all that they know, and only if
    it differs their revisions and then the records.
    """

    def __init__(
        self,
        records: record_sets.Records,
        partners: partner_choice.Partners,
        network: networks.PeerNetwork,
        counts: host_counts.Counts,
        randomness: random.Random,
    ) -> None:
        self._records = records
        self._partners = partners
        self._network = network
        self._counts = counts
        self._random = randomness
        self._ready = trio.Event()
        self._exchanged = trio.Event()
        self._differences = difference_logs.Differences()
        network.handle(control.KnowledgeDigest, self._answer_digest)
        network.handle(control.KnowledgeQuery, self._answer_query)
        network.handle(control.Knowledge, self._take_news)

    def ready(self) -> bool:
        """Tells whether this host has synchronized with anyone."""
        return self._ready.is_set()

    def set_ready(self) -> None:
        """Notes that this host has synchronized."""
        self._ready.set()

    async def wait_exchanged(self) -> None:
        """Returns once this host has exchanged records with another one."""
        await self._exchanged.wait()

    async def run(self) -> None:
        """Exchanges with one other host again and again."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._tick)
            while True:
                await self._exchange_with_any()
                interval_s = (
                    _INTERVAL_S if self._is_up_to_date() else _FIRST_INTERVAL_S
                )
                await trio.sleep(
                    interval_s * self._random.uniform(1 - _JITTER, 1 + _JITTER)
                )

    def publish(self, news: control.Knowledge, source: str) -> None:
        """Passes records on that this host has just taken in.

        Args:
            news: The records.
            source: The host that they come from, or another name.
        """
        if not 0 < news.records <= _MOST_NEWS_RECORDS:
            return
        for host in self._partners.pick_for_push(exclude=source):
            self._send(host, news)

    async def _tick(self) -> None:
        """Shows that this process runs, so that a pause is noticed."""
        while True:
            self._records.contracts.freshness.tick()
            await trio.sleep(freshness_parts.TICK_INTERVAL_S)

    def _is_up_to_date(self) -> bool:
        """Tells whether other hosts may rely on what this one knows."""
        return self.ready() and self._records.contracts.freshness.is_current()

    async def _exchange_with_any(self) -> None:
        """Exchanges with the first of a few hosts that answers.

        Guards against news that passed this host by: where messages are lost,
        one try after the other, each to its timeout, leaves it behind for
        seconds. So the next host is asked while the one before may still
        answer.
        """
        async with trio.open_nursery() as nursery:
            for host in self._partners.pick_for_exchange():
                ended = trio.Event()
                nursery.start_soon(self._try_exchange, host, nursery, ended)
                with trio.move_on_after(_PATIENCE_S):
                    await ended.wait()

    async def _try_exchange(
        self, host: ids.HostId, tries: trio.Nursery, ended: trio.Event
    ) -> None:
        """Exchanges with a host; ends the other tries if that succeeds."""
        try:
            await self._exchange(host)
            tries.cancel_scope.cancel()
        except errors.PeerError as error:
            self._counts.add("control_exchanges_failed_total")
            logger.debug("Exchange failed: %s", error)
        finally:
            ended.set()

    async def _exchange(self, host: ids.HostId) -> None:
        freshness = self._records.contracts.freshness
        asked_at = freshness.now()
        mine = self._records.digest()
        question = control.KnowledgeDigest(mine, self._is_up_to_date())
        answer = await self._call(host, question, control.KnowledgeDigest)
        if answer.digest == mine:
            self._differences.clear(host)
        elif self._differences.begin(host, mine, answer.digest):
            await self._reconcile(host)
        if answer.ready:
            self._ready.set()
            freshness.confirm(asked_at)
        self._exchanged.set()

    async def _reconcile(self, host: ids.HostId) -> None:
        while True:
            query = self._records.summarize()
            answer = await self._call(host, query, control.Knowledge)
            taken = self._records.take_in(answer, host)
            self.publish(taken, host)
            # A peer that says more without giving anything new would keep
            # this loop going for ever.
            if not answer.more or not taken.records:
                break
        wanted = self._records.collect_wanted(answer)
        for chunk in record_sets.split(wanted):
            self._send(host, chunk)

    async def _call(
        self, host: ids.HostId, message: base.Message, answer_type: type[M]
    ) -> M:
        self._count(message)
        answer = await self._network.call(host, message, _TIMEOUT_S)
        if not isinstance(answer, answer_type):
            raise errors.PeerProtocolError(
                f"answered with {base.get_kind(answer)}",
                step="exchange records",
                peer=host,
            )
        return answer

    def _send(self, host: ids.HostId, message: base.Message) -> bool:
        self._count(message)
        return self._network.send(host, message)

    def _count(self, message: base.Message) -> None:
        kind = base.get_kind(message)
        self._counts.add("control_messages_sent_total", kind=kind)

    async def _answer_digest(
        self, caller: networks.Caller, message: control.KnowledgeDigest
    ) -> control.KnowledgeDigest:
        answer = control.KnowledgeDigest(
            self._records.digest(), self._is_up_to_date()
        )
        self._count(answer)
        return answer

    async def _answer_query(
        self, caller: networks.Caller, message: control.KnowledgeQuery
    ) -> control.Knowledge:
        answer = self._records.answer(message)
        self._count(answer)
        return answer

    async def _take_news(
        self, caller: networks.Caller, message: control.Knowledge
    ) -> None:
        taken = self._records.take_in(message, caller.host)
        self.publish(taken, caller.host)
