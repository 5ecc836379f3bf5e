"""An upstream that answers each CoAP request at once, for measurements."""

from __future__ import annotations

import socket

import aiocoap

from persimmonhinge.coap import codec


def main() -> None:
    """Answers until it is ended."""
    receiver = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    receiver.bind(("127.0.0.1", 0))
    print(f"listening on 127.0.0.1:{receiver.getsockname()[1]}", flush=True)
    while True:
        data, source = receiver.recvfrom(2048)
        request = codec.decode(data)
        if not request.code.is_request():
            continue
        answer = aiocoap.Message(code=aiocoap.CONTENT, payload=b"{}")
        confirmable = request.mtype is aiocoap.CON
        answer.mtype = aiocoap.ACK if confirmable else aiocoap.NON
        answer.mid = request.mid
        answer.token = request.token
        if request.opt.observe == 0:
            answer.opt.observe = 1
        receiver.sendto(codec.encode(answer), source)


if __name__ == "__main__":
    main()
