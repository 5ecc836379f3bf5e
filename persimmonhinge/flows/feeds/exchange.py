"""Confirmable messages that await the caller's acknowledgement."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from persimmonhinge.coap import codec

if TYPE_CHECKING:
    from persimmonhinge.flows.feeds import feed as feed_module


@dataclasses.dataclass(slots=True, eq=False)
class Exchange:
    """A confirmable message and the state of its retransmission.

    Attributes:
        feed: Feed that the message belongs to.
        message: Message that the next transmission sends.
        message_ids: Message ids under which it has been sent.
        timeout_s: Seconds from the last transmission to the next one.
        replaced: True if `message` was replaced after the last transmission.
        retransmissions: Number of retransmissions.
    """

    feed: feed_module.Feed
    message: codec.Message
    message_ids: list[int]
    timeout_s: float
    replaced: bool = False
    retransmissions: int = 0
