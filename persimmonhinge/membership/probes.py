"""Asks members for a sign of life, directly and through others."""

from __future__ import annotations

import dataclasses
import random

import trio

from persimmonhinge import ids
from persimmonhinge.membership import channel as channel_module
from persimmonhinge.membership import member
from persimmonhinge.membership import messages
from persimmonhinge.membership import record as record_module
from persimmonhinge.membership import roster as roster_module
from persimmonhinge.settings import entry

ATTEMPTS = 3
_DEFAULT_HELPERS = 3
_MAX_HELPER_CANDIDATES = 12
_MAX_CONCURRENT_RELAYS = 256


@dataclasses.dataclass(slots=True, eq=False)
class _PendingProbe:
    host: ids.HostId
    answered: trio.Event
    record: record_module.Record | None = None


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
        peers: entry.PeerSettings,
        channel: channel_module.Channel,
        roster: roster_module.Roster,
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
        self._pending_probes: dict[int, _PendingProbe] = {}
        self._active_relays = 0

    async def probe(
        self, host: ids.HostId, helpers: int = _DEFAULT_HELPERS
    ) -> bool:
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
        sequence, wait = self._register_probe(host)
        try:
            for attempt in range(ATTEMPTS):
                await self._send_attempt(
                    sequence, target, helpers if attempt else 0
                )
                with trio.move_on_after(self._timeout_s / ATTEMPTS):
                    await wait.answered.wait()
                    return True
        finally:
            del self._pending_probes[sequence]
        return False

    async def ping_address(
        self, address: tuple[str, int], host: ids.HostId | None
    ) -> None:
        """Pings an address at which a host may be; no answer is awaited."""
        message = messages.Ping(self._next_sequence())
        await self._channel.send(message, address, recipient=host)

    async def answer_ping(
        self,
        ping: messages.Ping,
        address: tuple[str, int],
        sender: record_module.Record,
    ) -> None:
        """Gives a sign of life."""
        ack = messages.Ack(ping.sequence)
        await self._channel.send(ack, address, recipient=sender.host)

    async def relay_ping(
        self, request: messages.PingRequest, address: tuple[str, int]
    ) -> None:
        """Pings for another host and passes the answer on."""
        if self._active_relays >= _MAX_CONCURRENT_RELAYS:
            return
        self._active_relays += 1
        sequence, wait = self._register_probe(request.target.host)
        try:
            await self._channel.send(
                messages.Ping(sequence),
                request.target.heartbeat_address,
                recipient=request.target.host,
            )
            with trio.move_on_after(self._timeout_s):
                await wait.answered.wait()
        finally:
            del self._pending_probes[sequence]
            self._active_relays -= 1
        if wait.record is not None:
            answer = messages.Ack(request.sequence, wait.record)
            await self._channel.send(answer, address)

    def handle_ack(
        self, ack: messages.Ack, sender: record_module.Record
    ) -> None:
        """Wakes whoever waits for this sign of life."""
        wait = self._pending_probes.get(ack.sequence)
        record = ack.subject or sender
        if wait is None or wait.host != record.host:
            return
        wait.record = record
        wait.answered.set()

    async def _send_attempt(
        self, sequence: int, target: record_module.Record, helpers: int
    ) -> None:
        target = self._roster.get(target.host) or target
        await self._channel.send(
            messages.Ping(sequence),
            target.heartbeat_address,
            recipient=target.host,
        )
        request = messages.PingRequest(sequence, target)
        for helper in self._choose_helpers(target.host, helpers):
            await self._channel.send(
                request,
                (helper.address, helper.heartbeat_port),
                recipient=helper.host,
            )

    def _choose_helpers(
        self, target: ids.HostId, count: int
    ) -> list[member.Member]:
        """Chooses members, of as many domains as there are.

        A one-way cut between two domains is passed only by a third one, so
        three helpers of one domain would be worth no more than one.
        """
        if not count:
            return []
        candidates = self._roster.sample_members(
            _MAX_HELPER_CANDIDATES, self._randomness
        )
        candidates = [c for c in candidates if c.host != target]
        chosen: dict[ids.DomainId, member.Member] = {}
        spare = []
        for candidate in candidates:
            if candidate.domain in chosen:
                spare.append(candidate)
            else:
                chosen[candidate.domain] = candidate
        return [*chosen.values(), *spare][:count]

    def _register_probe(self, host: ids.HostId) -> tuple[int, _PendingProbe]:
        sequence = self._next_sequence()
        wait = _PendingProbe(host, trio.Event())
        self._pending_probes[sequence] = wait
        return sequence, wait

    def _next_sequence(self) -> int:
        self._sequence = (self._sequence + 1) % 2**32
        return self._sequence
