"""Probes members with pings, directly and through other members."""

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

MAX_ATTEMPTS = 3
_DEFAULT_HELPER_COUNT = 3
_MAX_HELPER_CANDIDATES = 12
_MAX_CONCURRENT_RELAYS = 256


@dataclasses.dataclass(slots=True, eq=False)
class _PendingProbe:
    host: ids.HostId
    answered: trio.Event
    record: record_module.Record | None = None


class Probes:
    """Sends pings and waits for their answers.

    If the first attempt of a probe gets no answer, the ping is repeated, and
    three members, of different domains where possible, are asked to ping the
    target as well. A probe thus fails only if the datagrams of three attempts
    are lost on all paths. A member is still reached through others if this
    host cannot send to it or cannot receive from it.

    Several attempts also protect against pauses of this process. When the
    process resumes, the timeout of one attempt has expired although the
    answer may be in the socket buffer; it is read during the next attempt.
    """

    def __init__(
        self,
        peers: entry.PeerSettings,
        channel: channel_module.Channel,
        roster: roster_module.Roster,
        randomness: random.Random,
    ) -> None:
        """Creates the prober of a host.

        Args:
            peers: Settings of heartbeats; all attempts of a probe together
                take at most one heartbeat interval.
            channel: Sends the datagrams.
            roster: Members and their records, for targets and helpers.
            randomness: Source of random choices.
        """
        self._timeout_s = peers.heartbeat_interval_s
        self._channel = channel
        self._roster = roster
        self._randomness = randomness
        self._sequence = randomness.getrandbits(32)
        self._pending_probes: dict[int, _PendingProbe] = {}
        self._active_relay_count = 0

    async def probe(
        self, host: ids.HostId, helper_count: int = _DEFAULT_HELPER_COUNT
    ) -> bool:
        """Probes a member.

        Args:
            host: The member.
            helper_count: Number of other members that are asked to ping the
                member at each attempt after the first.

        Returns:
            False if the host is unknown or no answer arrived in time, neither
            directly nor through a helper.
        """
        target = self._roster.get(host)
        if target is None:
            return False
        sequence, pending_probe = self._register_probe(host)
        try:
            for attempt in range(MAX_ATTEMPTS):
                await self._send_attempt(
                    sequence, target, helper_count if attempt else 0
                )
                with trio.move_on_after(self._timeout_s / MAX_ATTEMPTS):
                    await pending_probe.answered.wait()
                    return True
        finally:
            del self._pending_probes[sequence]
        return False

    async def ping_address(
        self, address: tuple[str, int], host: ids.HostId | None
    ) -> None:
        """Pings an address at which a host may be running.

        Returns without waiting for an answer.
        """
        message = messages.Ping(self._next_sequence())
        await self._channel.send(message, address, recipient=host)

    async def answer_ping(
        self,
        ping: messages.Ping,
        address: tuple[str, int],
        sender: record_module.Record,
    ) -> None:
        """Sends the acknowledgement of a ping to its sender."""
        ack = messages.Ack(ping.sequence)
        await self._channel.send(ack, address, recipient=sender.host)

    async def relay_ping(
        self, request: messages.PingRequest, address: tuple[str, int]
    ) -> None:
        """Pings a target for another host and relays the answer."""
        if self._active_relay_count >= _MAX_CONCURRENT_RELAYS:
            return
        self._active_relay_count += 1
        sequence, pending_probe = self._register_probe(request.target.host)
        try:
            await self._channel.send(
                messages.Ping(sequence),
                request.target.heartbeat_address,
                recipient=request.target.host,
            )
            with trio.move_on_after(self._timeout_s):
                await pending_probe.answered.wait()
        finally:
            del self._pending_probes[sequence]
            self._active_relay_count -= 1
        if pending_probe.record is not None:
            answer = messages.Ack(request.sequence, pending_probe.record)
            await self._channel.send(answer, address)

    def handle_ack(
        self, ack: messages.Ack, sender: record_module.Record
    ) -> None:
        """Completes the pending probe that an acknowledgement answers."""
        pending_probe = self._pending_probes.get(ack.sequence)
        record = ack.subject or sender
        if pending_probe is None or pending_probe.host != record.host:
            return
        pending_probe.record = record
        pending_probe.answered.set()

    async def _send_attempt(
        self, sequence: int, target: record_module.Record, helper_count: int
    ) -> None:
        target = self._roster.get(target.host) or target
        await self._channel.send(
            messages.Ping(sequence),
            target.heartbeat_address,
            recipient=target.host,
        )
        request = messages.PingRequest(sequence, target)
        for helper in self._choose_helpers(target.host, helper_count):
            await self._channel.send(
                request,
                (helper.address, helper.heartbeat_port),
                recipient=helper.host,
            )

    def _choose_helpers(
        self, target: ids.HostId, helper_count: int
    ) -> list[member.Member]:
        """Chooses helpers from as many failure domains as possible.

        A one-way partition between two domains can be bypassed only through a
        third one, so three helpers in one domain are no better than one.
        """
        if not helper_count:
            return []
        candidates = self._roster.sample_members(
            _MAX_HELPER_CANDIDATES, self._randomness
        )
        candidates = [c for c in candidates if c.host != target]
        chosen: dict[ids.DomainId, member.Member] = {}
        further_candidates = []
        for candidate in candidates:
            if candidate.domain in chosen:
                further_candidates.append(candidate)
            else:
                chosen[candidate.domain] = candidate
        return [*chosen.values(), *further_candidates][:helper_count]

    def _register_probe(self, host: ids.HostId) -> tuple[int, _PendingProbe]:
        sequence = self._next_sequence()
        pending_probe = _PendingProbe(host, trio.Event())
        self._pending_probes[sequence] = pending_probe
        return sequence, pending_probe

    def _next_sequence(self) -> int:
        self._sequence = (self._sequence + 1) % 2**32
        return self._sequence
