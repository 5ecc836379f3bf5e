"""Timers of CoAP's message layer, RFC 7252 section 4.8."""

from __future__ import annotations

import dataclasses

# First wait for an acknowledgement, seconds; it is drawn from this to
# `ACK_RANDOM_FACTOR` times this, and doubles with each retransmission.
ACK_TIMEOUT_S = 2.0
ACK_RANDOM_FACTOR = 1.5
MAX_RETRANSMIT = 4
# Time in which a message id must not be used again for the same endpoint.
EXCHANGE_LIFETIME_S = 247.0


@dataclasses.dataclass(frozen=True, slots=True)
class Transmission:
    """How a confirmable message is sent again until it is acknowledged.

    Attributes:
        ack_timeout_s: First wait for an acknowledgement, seconds.
        ack_random_factor: The first wait is drawn from `ack_timeout_s` to
            this multiple of it, so that retransmissions spread.
        max_retransmit: Retransmissions after the first transmission; the
            wait doubles with each.
    """

    ack_timeout_s: float = ACK_TIMEOUT_S
    ack_random_factor: float = ACK_RANDOM_FACTOR
    max_retransmit: int = MAX_RETRANSMIT

    def fit_into(self, limit_s: float) -> Transmission:
        """Returns timers that leave room for two retransmissions in a limit.

        They are never slower than these ones.
        """
        ack_timeout_s = min(self.ack_timeout_s, limit_s / 5)
        return dataclasses.replace(self, ack_timeout_s=ack_timeout_s)
