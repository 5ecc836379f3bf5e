"""A closed-loop sender of one CoAP request, light enough to load a host."""

from __future__ import annotations

import json
import random
import socket
import statistics
import time
from typing import Annotated

import aiocoap
import typer

from persimmonhinge.coap import codec

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
    window: Annotated[int, typer.Option(help="requests in flight")] = 32,
    source_port: Annotated[int, typer.Option(help="0 for any")] = 0,
) -> None:
    """Keeps some requests in flight and prints what was answered."""
    host, _, port = address.rpartition(":")
    template = bytearray(make_request(path))
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sender.bind(("127.0.0.1", source_port))
    # Not connected: with two hosts the answer comes from the home, which
    # here has an address of its own.
    target = (host, int(port))
    sender.settimeout(_WAIT_S)
    number = random.Random(seed).randrange(1 << 32)
    sent_at: dict[bytes, float] = {}
    delays: list[float] = []
    lost = 0
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        while len(sent_at) < window:
            number += 1
            token = (number & 0xFFFFFFFF).to_bytes(4, "big")
            template[_MESSAGE_ID] = (number & 0xFFFF).to_bytes(2, "big")
            template[_TOKEN] = token
            sent_at[token] = time.perf_counter()
            sender.sendto(template, target)
        try:
            data = sender.recv(2048)
        except TimeoutError:
            # The rest was lost; begin anew.
            lost += len(sent_at)
            sent_at.clear()
            continue
        began = sent_at.pop(data[_TOKEN], None)
        if began is not None:
            delays.append(time.perf_counter() - began)
    print(json.dumps(_summarize(delays, lost)))


def _summarize(delays: list[float], lost: int) -> dict[str, float]:
    cuts = statistics.quantiles(delays, n=100) if len(delays) > 1 else [0] * 99
    return {
        "answered": len(delays),
        "lost": lost,
        "p50_ms": round(cuts[49] * 1000, 3),
        "p99_ms": round(cuts[98] * 1000, 3),
    }


if __name__ == "__main__":
    program()
