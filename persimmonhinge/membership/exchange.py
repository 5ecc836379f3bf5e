"""Compares the state with another host and sends what differs."""

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

# Time between exchanges while something differs, and otherwise.
_DIFFERENT_STATE_INTERVALS = 2
_EQUAL_STATE_INTERVALS = 16
_MAX_CHUNK_OCTETS = 700
# A digest with what rides on it.
_DIGEST_OCTETS = 850
_OCTETS_PER_S = 4_000.0
# Two of these give a joining host the state of 610 members.
_BURST_OCTETS = 16_000.0


class Exchange:
    """Repairs what gossip missed, and tells a joining host the whole state.

    Two hosts compare digests of 64 buckets; only buckets that differ are
    sent, in datagrams that each make sense alone. A lost one is made up for
    by the next exchange, which follows soon until nothing differs. A budget
    bounds what a host spends when many join or come back at once; those
    that it can't serve ask others.
    """

    def __init__(
        self,
        peers: entry.PeerSettings,
        channel: channel_module.Channel,
        roster: roster_module.Roster,
        measure: Callable[[record_module.Record], int],
        randomness: random.Random,
    ) -> None:
        """Makes the part.

        Args:
            peers: Settings of heartbeats.
            channel: Where datagrams go out.
            roster: What is known.
            measure: Returns the octets that a record takes.
            randomness: Source of choices.
        """
        self._different_state_interval_s = (
            _DIFFERENT_STATE_INTERVALS * peers.heartbeat_interval_s
        )
        self._equal_state_interval_s = (
            _EQUAL_STATE_INTERVALS * peers.heartbeat_interval_s
        )
        self._channel = channel
        self._roster = roster
        self._measure = measure
        self._randomness = randomness
        self._budget = budgets.OctetBudget(
            _OCTETS_PER_S, _BURST_OCTETS, trio.current_time
        )
        self._next_exchange_at = trio.current_time()

    async def start_exchange_if_due(self) -> None:
        """Begins an exchange with a random member when it is time."""
        if trio.current_time() < self._next_exchange_at:
            return
        for member in self._roster.sample_members(1, self._randomness):
            partner = self._roster.get(member.host)
            if partner is not None:
                await self.start_exchange(partner)

    async def start_exchange(self, partner: record_module.Record) -> None:
        """Begins an exchange with a member, if the budget allows one."""
        if not self._budget.try_spend(_DIGEST_OCTETS):
            return
        self._next_exchange_at = (
            trio.current_time() + self._different_state_interval_s
        )
        digest = messages.Digest(self._roster.table.digests())
        await self._channel.send(
            digest, partner.heartbeat_address, recipient=partner.host
        )

    async def answer_digest(
        self, digest: messages.Digest, address: tuple[str, int]
    ) -> None:
        """Answers the digests of another host with what differs."""
        differing = self._roster.table.compare(digest.buckets)
        if not differing:
            await self._channel.send(messages.State(equal=True), address)
            return
        wanted = bytes(differing)
        await self._send_state(differing, address, requested_buckets=wanted)

    async def apply_state(
        self, state: messages.State, address: tuple[str, int]
    ) -> None:
        """Takes in records and sends those that are asked back for."""
        for record in state.records:
            self._roster.apply_record(record)
        if state.equal:
            self._roster.identity.is_synchronized = True
            calm_s = self._equal_state_interval_s * self._randomness.uniform(
                0.5, 1.5
            )
            self._next_exchange_at = trio.current_time() + calm_s
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
        known = self._roster.table.select(buckets)
        # Another part each time, should the budget not suffice for all.
        self._randomness.shuffle(known)
        for chunk in self._split(known):
            octets = sum(self._measure(record) for record in chunk)
            if not self._budget.try_spend(octets):
                break
            state = messages.State(tuple(chunk), requested_buckets)
            await self._channel.send(state, address)
            requested_buckets = b""

    def _split(
        self, known: list[record_module.Record]
    ) -> Iterator[list[record_module.Record]]:
        """Yields lists that fit a datagram; an empty one for no records."""
        chunk: list[record_module.Record] = []
        octets = 0
        for record in known:
            size = self._measure(record)
            if octets + size > _MAX_CHUNK_OCTETS:
                yield chunk
                chunk = []
                octets = 0
            chunk.append(record)
            octets += size
        yield chunk
