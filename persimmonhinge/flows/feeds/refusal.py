"""Answers to callers whose feed no upstream accepts."""

from __future__ import annotations

import random

import aiocoap

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.coap import codec
from persimmonhinge.flows.feeds import event
from persimmonhinge.flows.feeds import limits
from persimmonhinge.flows.feeds import search as search_module
from persimmonhinge.flows.feeds import source as source_module
from persimmonhinge.peers.messages import feeds

_SUCCESS_CLASS = 2
_CLIENT_ERROR_CLASS = 4
_CLASS_SHIFT = 5


def record_failure(
    search: search_module.Search, source: source_module.Source
) -> None:
    """Records in a search that an upstream did not accept the feed."""
    search.tried |= {ids.UpstreamId(source.upstream.id)}
    end = source.end
    if end is None or end.cause is not feeds.FeedEndCause.REFUSED:
        search.unreachable = True
        return
    search.answer = end.answer or search.answer
    search.retry_after_s = max(search.retry_after_s, end.retry_after_s)


def is_final(answer: bytes) -> bool:
    """Returns whether every upstream would answer in the same way.

    This holds for client errors except 4.29 (Too Many Requests), and for
    successful answers without Observe, because the resource can't be observed
    (RFC 7641, 4.1).
    """
    if not answer:
        return False
    try:
        code = event.read_answer(answer, "").code
    except errors.MalformedDatagramError:
        return False
    if code is aiocoap.TOO_MANY_REQUESTS:
        return False
    return int(code) >> _CLASS_SHIFT in (_SUCCESS_CLASS, _CLIENT_ERROR_CLASS)


def make_answer(
    answer: bytes, retry_after_s: int, randomness: random.Random
) -> codec.Message:
    """Returns the last message of a feed.

    Args:
        answer: Encoded answer of the upstreams; sent to the caller if it is
            final.
        retry_after_s: Retry delay that the upstreams requested, in seconds.
        randomness: Spreads the retries of callers whose feeds end together.
    """
    if is_final(answer):
        return event.read_answer(answer, "")
    wait_s = max(limits.MIN_REFUSED_RETRY_S, retry_after_s)
    message = codec.Message(code=aiocoap.SERVICE_UNAVAILABLE)
    message.opt.max_age = randomness.randint(wait_s, 2 * wait_s)
    return message
