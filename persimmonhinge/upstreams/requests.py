"""Conversion of requests and answers between homes and upstreams."""

from __future__ import annotations

import aiocoap

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.coap import codec


def decode_request(data: bytes, service: ids.ServiceName) -> codec.Message:
    """Decodes the request of a home and sets its options for the upstream.

    Uri-Host names the service, so that an upstream can refuse a request for
    another service. Options of block-wise transfers, observation, Echo and
    proxies are removed, because the keeper sets those of its own messages.

    Raises:
        MalformedDatagramError: The data is not a CoAP request.
    """
    request = codec.decode(data, limit=codec.MAX_WHOLE_OCTETS)
    if not request.code.is_request():
        raise errors.MalformedDatagramError(
            f"code {request.code} is not a request code", step="read request"
        )
    options = request.opt
    options.uri_host = service
    options.uri_port = None
    options.proxy_uri = None
    options.proxy_scheme = None
    options.block1 = None
    options.block2 = None
    options.observe = None
    options.echo = None
    options.request_tag = []
    return request


def encode_answer(answer: codec.Message) -> bytes:
    """Encodes a whole answer for the home; its token and id are unused."""
    plain = copy_message(answer)
    plain.mtype = aiocoap.NON
    plain.mid = 0
    return codec.encode(plain)


def copy_message(
    message: codec.Message, payload: bytes | None = None
) -> codec.Message:
    """Returns a copy of code, options and body, without type, id and token.

    The copy shares the option objects, which is safe because option setters
    replace them and do not modify them. `Message.copy` makes a deep copy of
    each option, which takes ten times as long.
    """
    body = message.payload if payload is None else payload
    copied = codec.Message(code=message.code, payload=body)
    for option in message.opt.option_list():
        copied.opt.add_option(option)
    return copied
