"""Parsing and checking of the requests of callers."""

from __future__ import annotations

from aiocoap.numbers import codes
from aiocoap.numbers import optionnumbers
from aiocoap.numbers import types

from persimmonhinge.coap import codec
from persimmonhinge.contracts import contract
from persimmonhinge.flows import digests

_Number = optionnumbers.OptionNumber

MAX_DEADLINE_S = 3600.0
OBSERVE_REGISTER = 0
OBSERVE_DEREGISTER = 1

_METHODS = {
    codes.Code.GET: contract.Method.GET,
    codes.Code.POST: contract.Method.POST,
    codes.Code.PUT: contract.Method.PUT,
    codes.Code.DELETE: contract.Method.DELETE,
    codes.Code.FETCH: contract.Method.FETCH,
    codes.Code.PATCH: contract.Method.PATCH,
    codes.Code.iPATCH: contract.Method.IPATCH,
}
_PROXY_OPTIONS = frozenset({_Number.PROXY_URI, _Number.PROXY_SCHEME})
# Critical options that the home or the upstream processes.
_SUPPORTED_CRITICAL_OPTIONS = frozenset(
    {
        _Number.IF_MATCH,
        _Number.URI_HOST,
        _Number.IF_NONE_MATCH,
        _Number.URI_PORT,
        _Number.URI_PATH,
        _Number.URI_QUERY,
        _Number.ACCEPT,
        _Number.BLOCK2,
        _Number.BLOCK1,
    }
)


def get_method(message: codec.Message) -> contract.Method | None:
    """Returns the method of a request, None for an unsupported method code."""
    return _METHODS.get(message.code)


def get_path(message: codec.Message) -> str:
    """Returns the path of a request, with a leading `/`."""
    return "/" + "/".join(message.opt.uri_path)


def get_deadline_s(
    message: codec.Message, call_class: contract.CallClass
) -> float:
    """Returns how long the caller waits for the reply, seconds.

    A request without a Deadline option has the deadline of its call class.
    """
    deadline_ms = codec.read_deadline_ms(message)
    if deadline_ms is None:
        return call_class.deadline_s
    return min(deadline_ms / 1000, MAX_DEADLINE_S)


def check_options(message: codec.Message) -> codes.Code | None:
    """Returns the error code for the first invalid option, or None."""
    for block in (message.opt.block1, message.opt.block2):
        if block is not None and block.is_bert:
            # RFC 7959 section 2.2: a reserved size exponent requires 4.00.
            return codes.Code.BAD_REQUEST
    for option in message.opt.option_list():
        if option.number in _PROXY_OPTIONS:
            return codes.Code.PROXYING_NOT_SUPPORTED
        if (
            option.number.is_critical()
            and option.number not in _SUPPORTED_CRITICAL_OPTIONS
        ):
            return codes.Code.BAD_OPTION
    return None


def encode_for_upstream(message: codec.Message) -> bytes:
    """Returns the encoded request without its hop-by-hop options."""
    forwarded = codec.Message(code=message.code, payload=message.payload)
    for option in message.opt.option_list():
        if option.number not in digests.HOP_BY_HOP_OPTIONS:
            forwarded.opt.add_option(option)
    forwarded.mtype = types.NON
    forwarded.mid = 0
    forwarded.token = b""
    return codec.encode(forwarded)
