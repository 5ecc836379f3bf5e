"""A fake caller that conforms to RFC 7252 and RFC 7641."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import aiocoap
import trio

from persimmonhinge.client import order
from persimmonhinge.coap import codec
from persimmonhinge.flows import port

if TYPE_CHECKING:
    from tests.test_flows import rescue_host

_TOKEN = b"\x01\x02"


class RescueCaller:
    """A caller with one feed that records the states it accepts.

    It ignores duplicates and notifications that are older than the newest one
    by the rules of RFC 7641.

    Attributes:
        flow: Flow of the caller.
        states: Accepted states, in order.
        seen_at: Time at which each state was accepted, by trio's clock.
        sequences: Observe numbers of the accepted states.
        hosts: Names of the hosts that sent the accepted states.
        received: All messages with a state, in order, also those ignored.
        acknowledges: False to send no acknowledgements.
    """

    def __init__(self, flow: port.Flow) -> None:
        self.flow = flow
        self.states: list[bytes] = []
        self.seen_at: list[float] = []
        self.sequences: list[int] = []
        self.hosts: list[str] = []
        self.received: list[codec.Message] = []
        self.acknowledges = True
        self._order = order.NotificationOrder()
        self._message_ids: set[int] = set()
        self._id = 0

    def next_id(self) -> int:
        """Returns a message id that no host has used."""
        self._id += 1
        return self._id

    def receive(self, host: rescue_host.RescueHost, data: bytes) -> None:
        """Processes a datagram of a host."""
        message = codec.decode(data)
        if message.mtype is aiocoap.CON and self.acknowledges:
            host.feeds.acknowledge(self.flow, message.mid)
        if message.opt.observe is None or not message.code.is_successful():
            return
        self.received.append(message)
        if message.mtype is not aiocoap.ACK:
            if message.mid in self._message_ids:
                return
            self._message_ids.add(message.mid)
        now = trio.current_time()
        if not self._order.take(message.opt.observe, now):
            return
        self.states.append(message.payload[:_STATE_OCTETS].rstrip(b"."))
        self.seen_at.append(now)
        self.sequences.append(message.opt.observe)
        self.hosts.append(host.name)

    def make_get(self, mtype: Any = aiocoap.NON) -> codec.Message:
        """Returns a registration of the feed."""
        message = codec.Message(code=aiocoap.GET)
        message.opt.uri_path = ("prices",)
        message.opt.observe = 0
        message.token, message.mid = _TOKEN, self.next_id()
        message.mtype = mtype
        return codec.decode(codec.encode(message))


_STATE_OCTETS = 16
