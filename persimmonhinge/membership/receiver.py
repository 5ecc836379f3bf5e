"""Reads heartbeat datagrams and answers them."""

from __future__ import annotations

import trio

from persimmonhinge.membership import codec as codecs
from persimmonhinge.membership import messages
from persimmonhinge.membership import parts as membership_parts
from persimmonhinge.membership import record as records
from persimmonhinge.membership import silence as silences
from persimmonhinge.metrics import counts as host_counts


class Receiver:
    """One task that takes in what arrives, in the order of arrival."""

    def __init__(
        self,
        parts: membership_parts.Parts,
        silence: silences.Silence,
        counts: host_counts.Counts,
        nursery: trio.Nursery,
    ) -> None:
        """Makes the receiver of a host.

        Args:
            parts: The parts of membership.
            silence: Where it notes that it hears other hosts.
            counts: Counters of this host.
            nursery: Where relayed pings wait for their answers.
        """
        self._parts = parts
        self._silence = silence
        self._counts = counts
        self._nursery = nursery

    async def run(self) -> None:
        """Receives until cancelled.

        Raises:
            NameTakenError: Another process started later under this name.
        """
        async for letter, source in self._parts.channel.receive():
            self._parts.pauses.check()
            self._silence.note_heard(trio.current_time())
            await self._take_records(letter)
            await self._handle(letter, source)

    async def _take_records(self, letter: codecs.Letter) -> None:
        roster = self._parts.roster
        appeared = roster.hear(letter.sender, first_hand=True)
        for rumor in letter.rumors:
            roster.hear(rumor)
        if appeared:
            await self._welcome(letter.sender)

    async def _welcome(self, sender: records.Record) -> None:
        """Meets a host that is new here, or back: compares state at once."""
        self._parts.contacts.hurry()
        await self._parts.exchange.begin(sender)

    async def _handle(
        self, letter: codecs.Letter, source: tuple[str, int]
    ) -> None:
        parts = self._parts
        message = letter.message
        if isinstance(message, messages.Ping):
            await parts.probes.answer(message, source, letter.sender)
        elif isinstance(message, messages.Ack):
            self._take_ack(message, letter.sender)
        elif isinstance(message, messages.PingRequest):
            parts.roster.hear(message.target)
            self._nursery.start_soon(parts.probes.relay, message, source)
        elif isinstance(message, messages.Digest):
            await parts.exchange.answer(message, source)
        elif isinstance(message, messages.State):
            await parts.exchange.take(message, source)
        elif message is None:
            self._counts.add("heartbeat_unknown_kinds_total")

    def _take_ack(self, ack: messages.Ack, sender: records.Record) -> None:
        if ack.subject is not None:
            self._parts.roster.hear(ack.subject)
        self._parts.probes.take_ack(ack, sender)
