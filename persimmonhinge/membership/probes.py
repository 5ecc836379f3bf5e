"""Asks members for a sign of life, directly and through others."""

from __future__ import annotations

import dataclasses
import random

import trio

from persimmonhinge import ids
from persimmonhinge.membership import channel as channels
from persimmonhinge.membership import member as members
from persimmonhinge.membership import messages
from persimmonhinge.membership import record as records
from persimmonhinge.membership import roster as rosters
from persimmonhinge.settings import entry as settings_entry

ATTEMPTS = 3
_HELPERS = 3
_CANDIDATES = 12
_MAX_RELAYS = 256


@dataclasses.dataclass(slots=True, eq=False)
class _Wait:
    host: ids.HostId
    answered: trio.Event
    record: records.Record | None = None


class Probes:
    """Pings and the waits for their answers.

    A probe that gets no answer at once is repeated, and three members of
    different domains are asked to ping as well. So a member counts as silent
    only if all datagrams of three attempts were lost on all ways, and one
    that this host can't reach, or not hear, is still found through others.

    The attempts also guard against pauses of this process. When it runs
    again, the time for the answer to one attempt has run out although the
    answer may lie in the socket; it is read while the next attempt waits.
    """

    def __init__(
        self,
        peers: settings_entry.PeerSettings,
        channel: channels.Channel,
        roster: rosters.Roster,
        randomness: random.Random,
    ) -> None:
        """Makes the part.

        Args:
            peers: Settings of heartbeats; all attempts of a probe together
                take one interval at most.
            channel: Where pings go out.
            roster: Whom to ask for help.
            randomness: Source of choices.
        """
        self._timeout_s = peers.heartbeat_interval_s
        self._channel = channel
        self._roster = roster
        self._randomness = randomness
        self._sequence = randomness.getrandbits(32)
        self._waits: dict[int, _Wait] = {}
        self._relays = 0

    async def probe(self, host: ids.HostId, helpers: int = _HELPERS) -> bool:
        """Asks a member for a sign of life.

        Args:
            host: The member.
            helpers: How many others are asked to ping as well, each time.

        Returns:
            False if none came in time, on any way.
        """
        target = self._roster.get(host)
        if target is None:
            return False
        sequence, wait = self._open(host)
        try:
            for attempt in range(ATTEMPTS):
                await self._ask(sequence, target, helpers if attempt else 0)
                with trio.move_on_after(self._timeout_s / ATTEMPTS):
                    await wait.answered.wait()
                    return True
        finally:
            del self._waits[sequence]
        return False

    async def greet(
        self, address: tuple[str, int], host: ids.HostId | None
    ) -> None:
        """Pings an address at which a host may be; no answer is awaited."""
        message = messages.Ping(self._next_sequence())
        await self._channel.send(message, address, about=host)

    async def answer(
        self,
        ping: messages.Ping,
        address: tuple[str, int],
        sender: records.Record,
    ) -> None:
        """Gives a sign of life."""
        ack = messages.Ack(ping.sequence)
        await self._channel.send(ack, address, about=sender.host)

    async def relay(
        self, request: messages.PingRequest, address: tuple[str, int]
    ) -> None:
        """Pings for another host and passes the answer on."""
        if self._relays >= _MAX_RELAYS:
            return
        self._relays += 1
        sequence, wait = self._open(request.target.host)
        try:
            await self._channel.send(
                messages.Ping(sequence),
                request.target.heartbeat_address,
                about=request.target.host,
            )
            with trio.move_on_after(self._timeout_s):
                await wait.answered.wait()
        finally:
            del self._waits[sequence]
            self._relays -= 1
        if wait.record is not None:
            answer = messages.Ack(request.sequence, wait.record)
            await self._channel.send(answer, address)

    def take_ack(self, ack: messages.Ack, sender: records.Record) -> None:
        """Wakes whoever waits for this sign of life."""
        wait = self._waits.get(ack.sequence)
        record = ack.subject or sender
        if wait is None or wait.host != record.host:
            return
        wait.record = record
        wait.answered.set()

    async def _ask(
        self, sequence: int, target: records.Record, helpers: int
    ) -> None:
        target = self._roster.get(target.host) or target
        await self._channel.send(
            messages.Ping(sequence), target.heartbeat_address, about=target.host
        )
        request = messages.PingRequest(sequence, target)
        for helper in self._choose_helpers(target.host, helpers):
            await self._channel.send(
                request,
                (helper.address, helper.heartbeat_port),
                about=helper.host,
            )

    def _choose_helpers(
        self, target: ids.HostId, count: int
    ) -> list[members.Member]:
        """Chooses members, of as many domains as there are.

        A one-way cut between two domains is passed only by a third one, so
        three helpers of one domain would be worth no more than one.
        """
        if not count:
            return []
        candidates = self._roster.pick(_CANDIDATES, self._randomness)
        candidates = [c for c in candidates if c.host != target]
        chosen: dict[ids.DomainId, members.Member] = {}
        spare = []
        for candidate in candidates:
            if candidate.domain in chosen:
                spare.append(candidate)
            else:
                chosen[candidate.domain] = candidate
        return [*chosen.values(), *spare][:count]

    def _open(self, host: ids.HostId) -> tuple[int, _Wait]:
        sequence = self._next_sequence()
        wait = _Wait(host, trio.Event())
        self._waits[sequence] = wait
        return sequence, wait

    def _next_sequence(self) -> int:
        self._sequence = (self._sequence + 1) % 2**32
        return self._sequence
