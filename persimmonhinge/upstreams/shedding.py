"""Answers with which an upstream refuses a request without running it."""

from __future__ import annotations

import aiocoap

from persimmonhinge.coap import codec

# 5.03 is defined by RFC 7252 and 4.29 by RFC 8516.
_SHED_CODES = (aiocoap.SERVICE_UNAVAILABLE, aiocoap.TOO_MANY_REQUESTS)
# Default of Max-Age, RFC 7252 section 5.10.5.
_DEFAULT_MAX_AGE_S = 60
# Part of the diagnostic payload of refusals of a draining upstream.
_DRAIN_WORD = b"drain"


def is_shed(answer: codec.Message) -> bool:
    """Returns whether an answer refuses the request without running it."""
    return answer.code in _SHED_CODES


def announces_drain(answer: codec.Message) -> bool:
    """Returns whether a refusal says that the upstream is draining."""
    return _DRAIN_WORD in answer.payload.lower()


def read_retry_s(answer: codec.Message) -> int:
    """Returns the delay before a retry, seconds; 0 without a refusal."""
    if not is_shed(answer):
        return 0
    max_age = answer.opt.max_age
    return _DEFAULT_MAX_AGE_S if max_age is None else int(max_age)
