"""Messages of heartbeats, each in one datagram."""

from __future__ import annotations

from typing import Annotated

import msgspec

from persimmonhinge.membership import record as records
from persimmonhinge.peers.messages import base

_SEQUENCE = msgspec.Meta(ge=0, lt=2**32)


@base.message_kind("hb-ping")
class Ping(base.Message, array_like=True, frozen=True):
    """Asks for a sign of life; answered by `Ack`.

    Attributes:
        sequence: Chosen by the sender.
    """

    sequence: Annotated[int, _SEQUENCE]


@base.message_kind("hb-ack")
class Ack(base.Message, array_like=True, frozen=True):
    """A sign of life, the sender's own or one that it passes on.

    Attributes:
        sequence: The one of the `Ping` or `PingRequest`.
        subject: Own record of the host whose sign is passed on; None if the
            sender answers for itself.
    """

    sequence: Annotated[int, _SEQUENCE]
    subject: records.Record | None = None


@base.message_kind("hb-ping-request")
class PingRequest(base.Message, array_like=True, frozen=True):
    """Asks another host to ping a third and to pass the answer on.

    Attributes:
        sequence: Chosen by the sender.
        target: Whom to ping, with what the sender believes of it.
    """

    sequence: Annotated[int, _SEQUENCE]
    target: records.Record


@base.message_kind("hb-digest")
class Digest(base.Message, array_like=True, frozen=True):
    """Begins an exchange of state; answered by `State`.

    Attributes:
        buckets: Digest of each bucket of records, four octets each.
    """

    buckets: bytes


@base.message_kind("hb-state")
class State(base.Message, array_like=True, frozen=True):
    """Records of the buckets that differ, or a part of them.

    Attributes:
        records: The records.
        wanted: Numbers of the buckets that the sender asks back for.
        equal: True if no bucket differed.
    """

    records: tuple[records.Record, ...] = ()
    requested_buckets: bytes = b""
    equal: bool = False


@base.message_kind("hb-farewell")
class Farewell(base.Message, array_like=True, frozen=True):
    """The sender stops now; its own record says that it is dead."""
