"""Settings of a caller: timing of retransmissions, tickets and feeds."""

from __future__ import annotations

import pydantic


class ClientSettings(pydantic.BaseModel):
    """How a caller waits, retransmits and splits bodies.

    Attributes:
        ack_timeout_s: ACK_TIMEOUT of RFC 7252, 4.8, seconds.
        ack_random_factor: ACK_RANDOM_FACTOR of RFC 7252, 4.8.
        max_retransmit: MAX_RETRANSMIT of RFC 7252, 4.8.
        retry_s: Time after an empty acknowledgement, or after the last
            retransmission, in which no answer came, until the request is
            sent again with the same token and a new message id, seconds.
        deadline_s: Deadline of requests that name none, seconds.
        grace_s: Time past its deadline that an answer is waited for, seconds.
        ticket_use_s: Age up to which a ticket is used, seconds; it is to be
            below the services' ticket life by more than a deadline.
        silent_s: Time past the last sign of a feed, or past its Max-Age,
            after which the feed is registered again, seconds.
        leave_s: Limit for deregistering a feed, seconds.
        host: Uri-Host of requests; empty for none.
        host: str = ""
    block_exponent: SZX of blocks by RFC 7959: 2^(4 + SZX) octets.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    ack_timeout_s: float = pydantic.Field(default=2.0, gt=0, le=60)
    ack_random_factor: float = pydantic.Field(default=1.5, ge=1, le=3)
    max_retransmit: int = pydantic.Field(default=4, ge=0, le=20)
    retry_s: float = pydantic.Field(default=2.0, gt=0, le=60)
    deadline_s: float = pydantic.Field(default=10.0, gt=0, le=3600)
    grace_s: float = pydantic.Field(default=1.0, ge=0, le=60)
    ticket_use_s: float = pydantic.Field(default=60.0, gt=0, le=3600)
    silent_s: float = pydantic.Field(default=3.0, gt=0, le=3600)
    leave_s: float = pydantic.Field(default=1.0, ge=0, le=60)
    host: str = ""
    block_exponent: int = pydantic.Field(default=6, ge=0, le=6)
