"""Answers by which an upstream refuses work that it did not run."""

from __future__ import annotations

import aiocoap

from persimmonhinge.coap import codec

# 5.03 of RFC 7252 and 4.29 of RFC 8516.
_SHED_CODES = (aiocoap.SERVICE_UNAVAILABLE, aiocoap.TOO_MANY_REQUESTS)
# Max-Age of RFC 7252 section 5.10.5, if an answer has none.
_DEFAULT_MAX_AGE_S = 60
# What a draining upstream says in the diagnostic payload of its 5.03.
_DRAIN_WORD = b"drain"


def is_shed(answer: codec.Message) -> bool:
    """Tells whether an answer says that the request did not run."""
    return answer.code in _SHED_CODES


def announces_drain(answer: codec.Message) -> bool:
    """Tells whether a refusal says that the upstream leaves."""
    return _DRAIN_WORD in answer.payload.lower()


def read_retry_s(answer: codec.Message) -> int:
    """Returns when to come back after a refusal, seconds; else 0."""
    if not is_shed(answer):
        return 0
    max_age = answer.opt.max_age
    return _DEFAULT_MAX_AGE_S if max_age is None else int(max_age)
