"""Answers that a home gives of its own."""

from __future__ import annotations

from typing import TypeAlias

from aiocoap.numbers import codes

from persimmonhinge.coap import codec
from persimmonhinge.flows import digests
from persimmonhinge.peers.messages import work

Code: TypeAlias = codes.Code

_UNKNOWN = b"outcome unknown"


def refuse(retry_after_s: int, reason: str, echo: bytes = b"") -> codec.Message:
    """Returns 5.03: it did not run and never will; come back later.

    Args:
        retry_after_s: When to come back, seconds.
        reason: Cause, for people.
        echo: Fresh ticket to come back with.
    """
    reply = codec.Message(
        code=Code.SERVICE_UNAVAILABLE, payload=reason.encode()
    )
    reply.opt.max_age = max(0, retry_after_s)
    return _attach(reply, echo)


def report_unknown(reason: str, echo: bytes = b"") -> codec.Message:
    """Returns 5.04: it may have run."""
    payload = _UNKNOWN + (f": {reason}".encode() if reason else b"")
    reply = codec.Message(code=Code.GATEWAY_TIMEOUT, payload=payload)
    return _attach(reply, echo)


def ask_for_ticket(echo: bytes, life_s: int) -> codec.Message:
    """Returns 4.01 with a fresh ticket (RFC 9175 section 2.3).

    Args:
        echo: The ticket.
        life_s: How long it serves, seconds; told in Max-Age.
    """
    reply = codec.Message(code=Code.UNAUTHORIZED)
    reply.opt.max_age = life_s
    return _attach(reply, echo)


def reject(code: Code, reason: str = "") -> codec.Message:
    """Returns an error answer to a request that can't be served as it is."""
    return codec.Message(code=code, payload=reason.encode())


def forward(dispatched: work.Dispatched, echo: bytes = b"") -> codec.Message:
    """Returns the answer to a caller that an outcome calls for."""
    if dispatched.outcome is work.Outcome.ANSWERED:
        return _attach(read_answer(dispatched.answer), echo)
    if dispatched.outcome is work.Outcome.UNKNOWN:
        return report_unknown(dispatched.reason, echo)
    return refuse(dispatched.retry_after_s, dispatched.reason, echo)


def read_answer(data: bytes) -> codec.Message:
    """Returns an upstream's answer without what was meant for one hop."""
    answer = codec.decode(data, limit=codec.MAX_WHOLE_OCTETS)
    reply = codec.Message(code=answer.code, payload=answer.payload)
    for option in answer.opt.option_list():
        if option.number not in digests.HOP_BY_HOP_OPTIONS:
            reply.opt.add_option(option)
    return reply


def _attach(reply: codec.Message, echo: bytes) -> codec.Message:
    if echo:
        reply.opt.echo = echo
    return reply
