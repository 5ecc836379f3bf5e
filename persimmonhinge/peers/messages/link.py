"""What the two ends of a link tell each other about the link itself."""

from __future__ import annotations

import enum
from typing import Annotated

import msgspec

from persimmonhinge import ids
from persimmonhinge.peers.messages import base

# A stranger's name goes into logs.
_NAME = msgspec.Meta(pattern=r"\A[a-z0-9][a-z0-9-]*\Z", max_length=63)


@base.message_kind("hello")
class Hello(base.Message, array_like=True, frozen=True):
    """The first message both ways.

    Attributes:
        lowest_version: Lowest frame version that the sender reads.
        highest_version: Highest frame version that it reads.
        host: Name of the sender.
        domain: Its failure domain.
        incarnation: Which process of that name it is.
        expected_host: Name of the host that it means to talk to.
    """

    lowest_version: int
    highest_version: int
    host: Annotated[ids.HostId, _NAME]
    domain: Annotated[ids.DomainId, _NAME]
    incarnation: ids.Incarnation
    expected_host: Annotated[ids.HostId, _NAME]


@base.message_kind("ping")
class Ping(base.Message, array_like=True, frozen=True):
    """Asks for a sign of life.

    Attributes:
        round_ms: Length of the sender's keep-alive rounds, milliseconds; if
            nothing else is sent, it pings again after two.
    """

    round_ms: int


class RefusalCause(enum.Enum):
    """Why a link or a call is refused.

    These are written as text in `Refusal`, so that a cause of a newer
    version can be read.

    VERSION: The two ends have no frame version in common.
    WRONG_HOST: The link reached another host than the one meant.
    OLD_INCARNATION: A newer process of the same name is known.
    DEAD: The host counts as dead here.
    CREDENTIAL: The certificate does not carry the name of the host.
    MALFORMED: The hello can't be read.
    UNSUPPORTED: No handler for this kind of message.
    FAILED: The handler failed; what it did before is unknown.
    OVERLOADED: Too many calls are open on the link.
    """

    VERSION = "version"
    WRONG_HOST = "wrong-host"
    OLD_INCARNATION = "old-incarnation"
    DEAD = "dead"
    CREDENTIAL = "credential"
    MALFORMED = "malformed"
    UNSUPPORTED = "unsupported"
    FAILED = "failed"
    OVERLOADED = "overloaded"


@base.message_kind("refusal")
class Refusal(base.Message, array_like=True, frozen=True):
    """Refuses a link (call id 0) or one call.

    Attributes:
        cause: Value of a `RefusalCause`.
        text: The cause in words, for logs.
    """

    cause: str
    text: str = ""
