"""Notifications of upstreams, decoded for delivery to callers."""

from __future__ import annotations

import dataclasses

from persimmonhinge import errors
from persimmonhinge.coap import codec
from persimmonhinge.flows.feeds import digests
from persimmonhinge.peers.messages import feeds


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A decoded notification.

    Attributes:
        sequence: Sequence number that the keeper assigned.
        resumed: True if an earlier stream of the feed may have delivered the
            same event.
        answer: Encoded CoAP message with code, options and whole body.
        digest: Digest of the answer.
        message: Decoded `answer`. It is modified when it is sent, so it can
            be sent only once.
    """

    sequence: int
    resumed: bool
    answer: bytes
    digest: bytes
    message: codec.Message


def read_event(message: feeds.FeedEvent, peer: str) -> Event:
    """Decodes a notification that a keeper sent.

    Raises:
        MalformedDatagramError: The answer is not a valid CoAP message.
    """
    answer = read_answer(message.answer, peer)
    digest = digests.compute(answer)
    return Event(
        message.sequence, message.resumed, message.answer, digest, answer
    )


def read_answer(data: bytes, peer: str) -> codec.Message:
    """Decodes an answer with its whole body, which may exceed one datagram.

    Raises:
        MalformedDatagramError: The answer is not a valid CoAP message.
    """
    try:
        return codec.Message.decode(data)
    except Exception as error:
        # aiocoap raises many types of exception for malformed input. One
        # malformed answer from a newer or faulty peer must not end the task.
        raise errors.MalformedDatagramError(
            repr(error), step="decode answer of a feed", peer=peer
        ) from error
