"""One notification on its way from an upstream to a caller."""

from __future__ import annotations

import dataclasses

from persimmonhinge import errors
from persimmonhinge.coap import codec
from persimmonhinge.flows.feeds import digests
from persimmonhinge.peers.messages import feeds


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A notification, read.

    Attributes:
        sequence: Number that the keeper gave it.
        resumed: True if a former stream of the feed may have brought it.
        answer: CoAP message with code, options and whole body.
        digest: Digest of the answer.
        message: The same, read; for the one time that it is sent.
    """

    sequence: int
    resumed: bool
    answer: bytes
    digest: bytes
    message: codec.Message


def read_event(message: feeds.FeedEvent, peer: str) -> Event:
    """Reads a notification.

    Raises:
        MalformedDatagramError: Its answer is not a CoAP message.
    """
    answer = read_answer(message.answer, peer)
    digest = digests.compute(answer)
    return Event(
        message.sequence, message.resumed, message.answer, digest, answer
    )


def read_answer(data: bytes, peer: str) -> codec.Message:
    """Reads an answer with its whole body, which no datagram need hold.

    Raises:
        MalformedDatagramError: It is not a CoAP message.
    """
    try:
        return codec.Message.decode(data)
    except Exception as error:
        # aiocoap raises errors of many kinds for malformed octets. One bad
        # answer of a newer or faulty peer must not end the task.
        raise errors.MalformedDatagramError(
            repr(error), step="read answer of a feed", peer=peer
        ) from error
