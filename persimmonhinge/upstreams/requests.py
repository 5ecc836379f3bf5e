"""Makes the request that an upstream gets."""

from __future__ import annotations

import aiocoap

from persimmonhinge import ids
from persimmonhinge.coap import codec


def read_request(data: bytes, service: ids.ServiceName) -> codec.Message:
    """Reads the request that a home sent on and addresses it.

    Uri-Host names the service, so that an upstream can refuse what is not
    meant for it. Options of single transfers and of proxies are the
    keeper's own and are removed.

    Raises:
        MalformedDatagramError: It is not a CoAP message.
    """
    request = codec.decode(data, limit=codec.MAX_WHOLE_OCTETS)
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


def write_answer(answer: codec.Message) -> bytes:
    """Writes a whole answer for the home; its token and id mean nothing."""
    plain = answer.copy(mtype=aiocoap.NON, mid=0, token=b"")
    return codec.encode(plain)
