"""Sends, receives, authenticates and counts heartbeat datagrams."""

from __future__ import annotations

from collections.abc import AsyncIterator
import logging

from persimmonhinge import ids
from persimmonhinge.membership import codec as codec_module
from persimmonhinge.membership import roster as roster_module
from persimmonhinge.metrics import counts as counts_module
from persimmonhinge.peers import network
from persimmonhinge.peers.messages import base

logger = logging.getLogger(__name__)


class Channel:
    """Sends and receives encoded heartbeats on a datagram port."""

    def __init__(
        self,
        datagrams: network.Datagrams,
        codec: codec_module.DatagramCodec,
        roster: roster_module.Roster,
        counts: counts_module.Counts,
    ) -> None:
        """Creates a channel that owns a datagram port."""
        self._datagrams = datagrams
        self._codec = codec
        self._roster = roster
        self._counts = counts

    async def send(
        self,
        message: base.Message,
        address: tuple[str, int],
        *,
        recipient: ids.HostId | None = None,
    ) -> None:
        """Sends a message with this host's record and gossip.

        A datagram that the kernel refuses (no route, full buffer) is treated
        like one lost in the network, because the protocol tolerates loss.

        Args:
            message: The message.
            address: IP address and UDP port of the recipient.
            recipient: The host at that address, if known.
        """
        other_records = self._roster.gossip.choose_records(recipient=recipient)
        sender = self._roster.identity.record
        data = self._codec.encode(
            codec_module.Heartbeat(sender, other_records, message)
        )
        try:
            await self._datagrams.send(data, address)
        except OSError as error:
            self._counts.add("heartbeat_send_failures_total")
            logger.debug("Cannot send heartbeat to %s: %s.", address, error)
            return
        self._counts.add("heartbeat_datagrams_sent_total")
        self._counts.add("heartbeat_octets_sent_total", len(data))

    async def receive(
        self,
    ) -> AsyncIterator[tuple[codec_module.Heartbeat, tuple[str, int]]]:
        """Yields received heartbeats; counts and discards refused ones."""
        async for data, source in self._datagrams:
            self._counts.add("heartbeat_datagrams_received_total")
            self._counts.add("heartbeat_octets_received_total", len(data))
            try:
                heartbeat = self._codec.decode(data)
            except codec_module.RefusedDatagramError as error:
                self._counts.add(
                    "heartbeat_datagrams_refused_total", cause=error.cause.value
                )
                continue
            yield heartbeat, source
