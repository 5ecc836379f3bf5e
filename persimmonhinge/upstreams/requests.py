"""Makes the request that an upstream gets."""

from __future__ import annotations

import aiocoap

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.coap import codec


def decode_request(data: bytes, service: ids.ServiceName) -> codec.Message:
    """Reads the request that a home sent on and addresses it.

    Uri-Host names the service, so that an upstream can refuse what is not
    meant for it. Options of single transfers and of proxies are the
    keeper's own and are removed.

    Raises:
        MalformedDatagramError: It is not a CoAP request.
    """
    request = codec.decode(data, limit=codec.MAX_WHOLE_OCTETS)
    if not request.code.is_request():
        raise errors.MalformedDatagramError(
            f"code {request.code} is no request", step="read request"
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
    """Writes a whole answer for the home; its token and id mean nothing."""
    plain = copy_message(answer)
    plain.mtype = aiocoap.NON
    plain.mid = 0
    return codec.encode(plain)


def copy_message(
    message: codec.Message, payload: bytes | None = None
) -> codec.Message:
    """Returns a copy with code, options and body, not yet ready to be sent.

    Options are shared: their setters replace them and don't change them.
    `Message.copy` copies each of them deeply, which takes ten times as long.
    """
    body = message.payload if payload is None else payload
    copied = codec.Message(code=message.code, payload=body)
    for option in message.opt.option_list():
        copied.opt.add_option(option)
    return copied
