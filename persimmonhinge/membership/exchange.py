"""Compares membership state with another host and sends the differences."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import random

import trio

from persimmonhinge.membership import budgets
from persimmonhinge.membership import channel as channel_module
from persimmonhinge.membership import messages
from persimmonhinge.membership import record as record_module
from persimmonhinge.membership import roster as roster_module
from persimmonhinge.settings import entry

# Heartbeat intervals between exchanges: while the compared states differ, and
# after a comparison found them equal.
_UNEQUAL_STATE_INTERVALS = 2
_EQUAL_STATE_INTERVALS = 16
_MAX_CHUNK_OCTETS = 700
# Budget charged for one digest datagram, with the gossip it carries.
_DIGEST_OCTETS = 850
_OCTETS_PER_S = 4_000.0
# Two bursts of this size transfer the state of 610 members to a joining host.
_BURST_OCTETS = 16_000.0


class Exchange:
    """Repairs updates that gossip missed and sends a joining host all records.

    Two hosts compare digests of 64 buckets of records and send only the
    buckets that differ, in datagrams that can be applied independently. A
    lost datagram is repaired by the next exchange; exchanges run at a shorter
    interval until no bucket differs. A budget limits the traffic of a host
    when many hosts join or return at once; hosts that it cannot serve ask
    other members.
    """

    def __init__(
        self,
        peers: entry.PeerSettings,
        channel: channel_module.Channel,
        roster: roster_module.Roster,
        measure_record: Callable[[record_module.Record], int],
        randomness: random.Random,
    ) -> None:
        """Creates the state exchange of a host.

        Args:
            peers: Settings of heartbeats.
            channel: Sends the datagrams.
            roster: Members and their records.
            measure_record: Returns the encoded size of a record, octets.
            randomness: Source of random choices.
        """
        self._unequal_state_interval_s = (
            _UNEQUAL_STATE_INTERVALS * peers.heartbeat_interval_s
        )
        self._equal_state_interval_s = (
            _EQUAL_STATE_INTERVALS * peers.heartbeat_interval_s
        )
        self._channel = channel
        self._roster = roster
        self._measure_record = measure_record
        self._randomness = randomness
        self._budget = budgets.OctetBudget(
            _OCTETS_PER_S, _BURST_OCTETS, trio.current_time
        )
        self._next_exchange_at = trio.current_time()

    async def start_exchange_if_due(self) -> None:
        """Starts an exchange with a random member if one is due."""
        if trio.current_time() < self._next_exchange_at:
            return
        for member in self._roster.sample_members(1, self._randomness):
            partner = self._roster.get(member.host)
            if partner is not None:
                await self.start_exchange(partner)

    async def start_exchange(self, partner: record_module.Record) -> None:
        """Starts an exchange with a member if the budget allows it."""
        if not self._budget.try_spend(_DIGEST_OCTETS):
            return
        self._next_exchange_at = (
            trio.current_time() + self._unequal_state_interval_s
        )
        digest = messages.Digest(self._roster.table.digests())
        await self._channel.send(
            digest, partner.heartbeat_address, recipient=partner.host
        )

    async def answer_digest(
        self, digest: messages.Digest, address: tuple[str, int]
    ) -> None:
        """Answers the digests of another host with the differing buckets."""
        differing = self._roster.table.find_differing_buckets(
            digest.bucket_digests
        )
        if not differing:
            await self._channel.send(messages.State(equal=True), address)
            return
        requested_buckets = bytes(differing)
        await self._send_state(
            differing, address, requested_buckets=requested_buckets
        )

    async def apply_state(
        self, state: messages.State, address: tuple[str, int]
    ) -> None:
        """Applies received records and sends the requested buckets."""
        for record in state.records:
            self._roster.apply_record(record)
        if state.equal:
            self._roster.identity.is_synchronized = True
            interval_s = (
                self._equal_state_interval_s
                * self._randomness.uniform(0.5, 1.5)
            )
            self._next_exchange_at = trio.current_time() + interval_s
        if state.requested_buckets:
            await self._send_state(
                state.requested_buckets, address, requested_buckets=b""
            )

    async def _send_state(
        self,
        buckets: Iterable[int],
        address: tuple[str, int],
        *,
        requested_buckets: bytes,
    ) -> None:
        selected = self._roster.table.select_records(buckets)
        # If the budget does not cover all records, each exchange sends a
        # different subset.
        self._randomness.shuffle(selected)
        for chunk in self._split(selected):
            octets = sum(self._measure_record(record) for record in chunk)
            if not self._budget.try_spend(octets):
                break
            state = messages.State(tuple(chunk), requested_buckets)
            await self._channel.send(state, address)
            requested_buckets = b""

    def _split(
        self, records: list[record_module.Record]
    ) -> Iterator[list[record_module.Record]]:
        """Yields lists of records that fit into a datagram.

        Yields one empty list if there are no records.
        """
        chunk: list[record_module.Record] = []
        octets = 0
        for record in records:
            size = self._measure_record(record)
            if octets + size > _MAX_CHUNK_OCTETS:
                yield chunk
                chunk = []
                octets = 0
            chunk.append(record)
            octets += size
        yield chunk
