"""A closed-loop sender of one CoAP request, light enough to load a host."""

from __future__ import annotations

import json
import random
import socket
import time
from typing import Annotated

import aiocoap
import typer

from persimmonhinge.coap import codec

_WINDOW = 32
_WAIT_S = 0.5
_MESSAGE_ID = slice(2, 4)
_TOKEN = slice(4, 8)
program = typer.Typer(add_completion=False)


def make_request(path: str) -> bytes:
    """Returns a non-confirmable GET with a token of four octets."""
    message = aiocoap.Message(code=aiocoap.GET)
    message.opt.uri_path = tuple(path.strip("/").split("/"))
    message.mtype = aiocoap.NON
    message.mid = 0
    message.token = bytes(4)
    return codec.encode(message)


@program.command()
def run(
    address: Annotated[str, typer.Argument(help="address:port")],
    path: str = "/time",
    seconds: float = 5.0,
    seed: int = 1,
) -> None:
    """Keeps some requests in flight and prints what was answered."""
    host, _, port = address.rpartition(":")
    template = bytearray(make_request(path))
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sender.connect((host, int(port)))
    sender.settimeout(_WAIT_S)
    number = random.Random(seed).randrange(1 << 16)
    answered = 0
    in_flight = 0
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        while in_flight < _WINDOW:
            number += 1
            template[_MESSAGE_ID] = (number & 0xFFFF).to_bytes(2, "big")
            template[_TOKEN] = (number & 0xFFFFFFFF).to_bytes(4, "big")
            sender.send(template)
            in_flight += 1
        try:
            sender.recv(2048)
        except TimeoutError:
            # The rest was lost; begin anew.
            in_flight = 0
            continue
        in_flight -= 1
        answered += 1
    print(json.dumps({"answered": answered}))


if __name__ == "__main__":
    program()
