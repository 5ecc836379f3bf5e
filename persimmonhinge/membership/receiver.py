"""Receives heartbeat datagrams and answers them."""

from __future__ import annotations

import trio

from persimmonhinge.membership import codec
from persimmonhinge.membership import isolation as isolation_module
from persimmonhinge.membership import messages
from persimmonhinge.membership import parts as parts_module
from persimmonhinge.membership import record
from persimmonhinge.metrics import counts as counts_module


class Receiver:
    """Handles received datagrams one by one, in the order of arrival."""

    def __init__(
        self,
        parts: parts_module.Parts,
        isolation: isolation_module.IsolationDetector,
        counts: counts_module.Counts,
        nursery: trio.Nursery,
    ) -> None:
        """Creates the receiver of a host.

        Args:
            parts: The components of membership.
            isolation: Detector to which each received datagram is reported.
            counts: Counters of this host.
            nursery: Runs the tasks that relay pings.
        """
        self._parts = parts
        self._isolation = isolation
        self._counts = counts
        self._nursery = nursery

    async def run(self) -> None:
        """Receives and handles datagrams until cancelled.

        Raises:
            NameTakenError: Another process started later under this name.
        """
        async for heartbeat, source in self._parts.channel.receive():
            self._parts.pauses.check()
            self._isolation.record_datagram(trio.current_time())
            await self._apply_records(heartbeat)
            await self._handle_message(heartbeat, source)

    async def _apply_records(self, heartbeat: codec.Heartbeat) -> None:
        roster = self._parts.roster
        appeared = roster.apply_record(heartbeat.sender, sent_by_subject=True)
        for other_record in heartbeat.other_records:
            roster.apply_record(other_record)
        if appeared:
            await self._synchronize_with(heartbeat.sender)

    async def _synchronize_with(self, sender: record.Record) -> None:
        """Starts a state exchange with a host that was unknown or dead."""
        self._parts.contacts.retry_soon()
        await self._parts.exchange.start_exchange(sender)

    async def _handle_message(
        self, heartbeat: codec.Heartbeat, source: tuple[str, int]
    ) -> None:
        parts = self._parts
        message = heartbeat.message
        if isinstance(message, messages.Ping):
            await parts.probes.answer_ping(message, source, heartbeat.sender)
        elif isinstance(message, messages.Ack):
            self._handle_ack(message, heartbeat.sender)
        elif isinstance(message, messages.PingRequest):
            parts.roster.apply_record(message.target)
            self._nursery.start_soon(parts.probes.relay_ping, message, source)
        elif isinstance(message, messages.Digest):
            await parts.exchange.answer_digest(message, source)
        elif isinstance(message, messages.State):
            await parts.exchange.apply_state(message, source)
        elif message is None:
            self._counts.add("heartbeat_unknown_kinds_total")

    def _handle_ack(self, ack: messages.Ack, sender: record.Record) -> None:
        if ack.subject is not None:
            self._parts.roster.apply_record(ack.subject)
        self._parts.probes.handle_ack(ack, sender)
