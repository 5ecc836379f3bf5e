"""Callers that each make one non-idempotent request, or open one feed."""

from __future__ import annotations

import json
import secrets
import socket
import time
from typing import Annotated

import aiocoap
import typer

from persimmonhinge.coap import codec

_AT_ONCE = 64
_WAIT_S = 2.0
_MOST_TRIES = 20
program = typer.Typer(add_completion=False)


class _Caller:
    """One caller with a socket of its own."""

    def __init__(self, target: tuple[str, int], path: str) -> None:
        self.echo = b""
        self.answered = False
        self._target = target
        self._path = path
        # The kernel gives ports once more; what is then alike is a copy.
        self._token = secrets.token_bytes(8)
        self._number = secrets.randbelow(1 << 15)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(("127.0.0.1", 0))
        self._socket.settimeout(_WAIT_S)

    def send(self, code: aiocoap.Code, observe: int | None = None) -> None:
        """Sends the request, with its ticket if it has one."""
        self._number += 1
        message = aiocoap.Message(code=code)
        message.opt.uri_path = tuple(self._path.strip("/").split("/"))
        message.opt.observe = observe
        if self.echo:
            message.opt.echo = self.echo
        message.mtype = aiocoap.NON
        message.mid = self._number
        message.token = self._token
        self._socket.sendto(codec.encode(message), self._target)

    def receive(self) -> None:
        """Takes an answer, if one comes in time."""
        try:
            answer = codec.decode(self._socket.recv(2048))
        except TimeoutError:
            return
        self.echo = answer.opt.echo or self.echo
        self.answered = answer.code.is_successful()

    def close(self) -> None:
        """Closes the socket."""
        self._socket.close()


def _run_batch(
    callers: list[_Caller], code: aiocoap.Code, observe: int | None
) -> None:
    for _ in range(_MOST_TRIES):
        waiting = [caller for caller in callers if not caller.answered]
        if not waiting:
            return
        for caller in waiting:
            caller.send(code, observe)
        for caller in waiting:
            caller.receive()


@program.command()
def run(
    address: Annotated[str, typer.Argument(help="address:port")],
    count: int,
    path: str = "/lots/1",
    observe: bool = False,
) -> None:
    """Serves one caller after the other, some at a time."""
    host, _, port = address.rpartition(":")
    code = aiocoap.GET if observe else aiocoap.POST
    answered = 0
    began = time.monotonic()
    for first in range(0, count, _AT_ONCE):
        size = min(_AT_ONCE, count - first)
        callers = [_Caller((host, int(port)), path) for _ in range(size)]
        _run_batch(callers, code, 0 if observe else None)
        answered += sum(caller.answered for caller in callers)
        for caller in callers:
            caller.close()
    spent_s = time.monotonic() - began
    print(json.dumps({"answered": answered, "seconds": spent_s}))


if __name__ == "__main__":
    program()
