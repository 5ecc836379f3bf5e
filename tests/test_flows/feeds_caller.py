"""A fake caller that discards notifications that arrive out of order."""

from __future__ import annotations

import json
from typing import Any
from typing import TYPE_CHECKING

import aiocoap
import trio

from persimmonhinge.client import order
from persimmonhinge.coap import codec
from tests.test_flows import feeds_values

if TYPE_CHECKING:
    from tests.test_flows import feeds_hosts
    from tests.test_flows import feeds_world


class FakeCaller:
    """A caller that records messages and acknowledges confirmable ones.

    Attributes:
        world: World that the caller belongs to.
        messages: All messages received.
        ticks: States accepted as newer than the previous ones, in order.
        senders: Names of the hosts that sent `messages`.
        acknowledges: False to send no acknowledgements.
        is_deaf: True to lose all messages on their way.
    """

    def __init__(self, world: feeds_world.World) -> None:
        self.world = world
        self.messages: list[codec.Message] = []
        self.ticks: list[int] = []
        self.senders: list[str] = []
        self.acknowledges = True
        self.is_deaf = False
        self._order = order.NotificationOrder()
        self._ids = 0

    def next_id(self) -> int:
        """Returns a new message id."""
        self._ids += 1
        return self._ids

    def receive(self, host: feeds_hosts.Host, message: codec.Message) -> None:
        """Processes a message that a host sends."""
        if self.is_deaf:
            return
        self.messages.append(codec.decode(codec.encode(message)))
        self.senders.append(host.name)
        if message.mtype is aiocoap.CON and self.acknowledges:
            host.feeds.acknowledge(feeds_values.FLOW, message.mid)
        if message.opt.observe is None or message.opt.block2 is not None:
            return
        if self._order.take(message.opt.observe, trio.current_time()):
            self.ticks.append(json.loads(message.payload)["tick"])

    def get_last_message(self) -> codec.Message:
        """Returns the last message received."""
        return self.messages[-1]

    def make_get(
        self, observe: int | None = 0, mtype: Any = aiocoap.NON
    ) -> codec.Message:
        """Returns a request for the feed."""
        message = codec.Message(code=aiocoap.GET)
        message.opt.uri_path = ("prices",)
        message.opt.observe = observe
        message.token, message.mid = feeds_values.TOKEN, self.next_id()
        message.mtype = mtype
        return codec.decode(codec.encode(message))
