"""Messages of the heartbeat protocol, each sent in one datagram."""

from __future__ import annotations

from typing import Annotated

import msgspec

from persimmonhinge.membership import record
from persimmonhinge.peers.messages import base

_SEQUENCE = msgspec.Meta(ge=0, lt=2**32)


@base.message_kind("hb-ping")
class Ping(base.Message, array_like=True, frozen=True):
    """Asks the recipient to confirm that it is alive; answered by `Ack`.

    Attributes:
        sequence: Number by which the sender matches the answer.
    """

    sequence: Annotated[int, _SEQUENCE]


@base.message_kind("hb-ack")
class Ack(base.Message, array_like=True, frozen=True):
    """Confirms that the sender, or a host that it pinged, is alive.

    Attributes:
        sequence: Sequence number of the `Ping` or `PingRequest`.
        subject: Record that the pinged host sent; None if the sender answers
            for itself.
    """

    sequence: Annotated[int, _SEQUENCE]
    subject: record.Record | None = None


@base.message_kind("hb-ping-request")
class PingRequest(base.Message, array_like=True, frozen=True):
    """Asks the recipient to ping a third host and to relay the answer.

    Attributes:
        sequence: Number by which the sender matches the answer.
        target: The sender's record of the host to ping.
    """

    sequence: Annotated[int, _SEQUENCE]
    target: record.Record


@base.message_kind("hb-digest")
class Digest(base.Message, array_like=True, frozen=True):
    """Starts a state exchange; answered by `State`.

    Attributes:
        bucket_digests: Digests of all buckets of records, four octets each.
    """

    bucket_digests: bytes


@base.message_kind("hb-state")
class State(base.Message, array_like=True, frozen=True):
    """Carries all or some records of the buckets that differ.

    Attributes:
        records: The records.
        requested_buckets: Numbers of the buckets whose records the sender
            requests in return.
        equal: True if no bucket differed.
    """

    records: tuple[record.Record, ...] = ()
    requested_buckets: bytes = b""
    equal: bool = False


@base.message_kind("hb-farewell")
class Farewell(base.Message, array_like=True, frozen=True):
    """Announces that the sender stops; its record claims that it is dead."""
