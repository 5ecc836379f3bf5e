"""CoAP messages to octets and back; the one place that calls aiocoap."""

from __future__ import annotations

from typing import TypeAlias

import aiocoap
from aiocoap import error as coap_error
from aiocoap import message as coap_message

from persimmonhinge import errors
from persimmonhinge.coap import options

Message: TypeAlias = aiocoap.Message

MAX_DATAGRAM_OCTETS = 2048
# A whole message between hosts: the largest body that a contract allows,
# and its options.
MAX_WHOLE_OCTETS = 4_194_304 + 65_536
MAX_TOKEN_OCTETS = 8
_HEADER_OCTETS = 4
_TOKEN_LENGTH_MASK = 0x0F


def decode(
    data: bytes, peer: str = "", limit: int = MAX_DATAGRAM_OCTETS
) -> Message:
    """Reads one message.

    Args:
        data: The message.
        peer: Where it came from, for the error.
        limit: Octets that it may have; `MAX_WHOLE_OCTETS` for a message
            with its whole body that came from another host.

    Raises:
        MalformedDatagramError: It is not a CoAP message.
    """
    if not _HEADER_OCTETS <= len(data) <= limit:
        raise _malformed(f"{len(data)} octets", peer)
    token_octets = data[0] & _TOKEN_LENGTH_MASK
    # aiocoap reads a token that is cut short without complaint.
    if token_octets > MAX_TOKEN_OCTETS:
        raise _malformed(f"token of {token_octets} octets", peer)
    if len(data) < _HEADER_OCTETS + token_octets:
        raise _malformed("token is cut short", peer)
    try:
        return Message.decode(data)
    except (coap_error.Error, ValueError, IndexError, KeyError) as error:
        raise _malformed(str(error) or repr(error), peer) from error


def encode(message: Message) -> bytes:
    """Writes one message; its type, message id and token must be set."""
    message.direction = coap_message.Direction.OUTGOING
    data: bytes = message.encode()
    return data


def read_deadline_ms(message: Message) -> int | None:
    """Returns the deadline option in milliseconds, None without one."""
    for option in message.opt.get_option(options.DEADLINE) or ():
        return int(option.value)
    return None


def write_deadline_ms(message: Message, deadline_ms: int) -> None:
    """Replaces the deadline option, in milliseconds."""
    message.opt.delete_option(options.DEADLINE)
    option = options.DEADLINE.create_option(value=max(0, deadline_ms))
    message.opt.add_option(option)


def _malformed(reason: str, peer: str) -> errors.MalformedDatagramError:
    return errors.MalformedDatagramError(
        reason, step="decode datagram", peer=peer
    )
