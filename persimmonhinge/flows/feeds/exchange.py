"""A confirmable message to a caller that waits for its acknowledgement."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from persimmonhinge.coap import codec

if TYPE_CHECKING:
    from persimmonhinge.flows.feeds import feed as feed_module


@dataclasses.dataclass(slots=True, eq=False)
class Exchange:
    """A confirmable message.

    Attributes:
        feed: The feed that it belongs to.
        message: What the next transmission carries.
        ids: Message ids that it was sent under.
        timeout_s: Time from the last transmission to the next.
        renewed: True if `message` was replaced since it was last sent.
        retransmissions: How often it was sent again.
    """

    feed: feed_module.Feed
    message: codec.Message
    message_ids: list[int]
    timeout_s: float
    replaced: bool = False
    retransmissions: int = 0
