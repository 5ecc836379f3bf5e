"""CoAP replies that a home sends to callers."""

from __future__ import annotations

from typing import TypeAlias

from aiocoap.numbers import codes

from persimmonhinge.coap import codec
from persimmonhinge.flows import digests
from persimmonhinge.peers.messages import work

Code: TypeAlias = codes.Code

_UNKNOWN_OUTCOME_TEXT = b"outcome unknown"


def make_unavailable(
    retry_after_s: int, reason: str, echo: bytes = b""
) -> codec.Message:
    """Returns 5.03: the request did not run and never will; retry later.

    Args:
        retry_after_s: Time after which the caller may retry, seconds.
        reason: Human-readable cause.
        echo: Fresh ticket for the retry; empty for none.
    """
    reply = codec.Message(
        code=Code.SERVICE_UNAVAILABLE, payload=reason.encode()
    )
    reply.opt.max_age = max(0, retry_after_s)
    return _attach_ticket(reply, echo)


def make_outcome_unknown(reason: str, echo: bytes = b"") -> codec.Message:
    """Returns 5.04: the request may have run."""
    payload = _UNKNOWN_OUTCOME_TEXT + (
        f": {reason}".encode() if reason else b""
    )
    reply = codec.Message(code=Code.GATEWAY_TIMEOUT, payload=payload)
    return _attach_ticket(reply, echo)


def make_ticket_required(echo: bytes, lifetime_s: int) -> codec.Message:
    """Returns 4.01 with a fresh ticket (RFC 9175 section 2.3).

    Args:
        echo: The ticket, sent in the Echo option.
        lifetime_s: Lifetime of the ticket, seconds; sent in Max-Age.
    """
    reply = codec.Message(code=Code.UNAUTHORIZED)
    reply.opt.max_age = lifetime_s
    return _attach_ticket(reply, echo)


def make_reply(code: Code, reason: str = "") -> codec.Message:
    """Returns a reply with a code and an optional human-readable reason.

    Most of its uses reject a request that can't be served as it was sent.
    """
    return codec.Message(code=code, payload=reason.encode())


def convert_outcome(
    dispatched: work.Dispatched, echo: bytes = b""
) -> codec.Message:
    """Converts the result of a request to the reply to its caller."""
    if dispatched.outcome is work.Outcome.ANSWERED:
        return _attach_ticket(decode_answer(dispatched.answer), echo)
    if dispatched.outcome is work.Outcome.UNKNOWN:
        return make_outcome_unknown(dispatched.reason, echo)
    return make_unavailable(dispatched.retry_after_s, dispatched.reason, echo)


def decode_answer(data: bytes) -> codec.Message:
    """Returns an upstream's answer without its hop-by-hop options."""
    answer = codec.decode(data, limit=codec.MAX_WHOLE_OCTETS)
    reply = codec.Message(code=answer.code, payload=answer.payload)
    for option in answer.opt.option_list():
        if option.number not in digests.HOP_BY_HOP_OPTIONS:
            reply.opt.add_option(option)
    return reply


def _attach_ticket(reply: codec.Message, echo: bytes) -> codec.Message:
    if echo:
        reply.opt.echo = echo
    return reply
