"""A caller that is not ours: aiocoap's own client, run as a process.

It shows that hosts speak CoAP and not a dialect. aiocoap needs asyncio, so
it can't run in a test's own process, which belongs to trio.
"""

from __future__ import annotations

import asyncio
import json
from typing import Annotated

import aiocoap
import typer

_LIMIT_S = 15.0
_NOTIFICATIONS = 5
program = typer.Typer(add_completion=False)


async def fetch(uri: str) -> dict[str, object]:
    """Returns code and size of a plain GET, block-wise if need be."""
    context = await aiocoap.Context.create_client_context()
    try:
        request = aiocoap.Message(code=aiocoap.GET, uri=uri)
        response = await context.request(request).response
        return {"code": response.code.dotted, "octets": len(response.payload)}
    finally:
        await context.shutdown()


async def upload(uri: str, octets: int) -> dict[str, object]:
    """Posts a body in blocks; repeats it with the Echo that 4.01 brings."""
    context = await aiocoap.Context.create_client_context()
    try:
        echo: bytes | None = None
        codes: list[str] = []
        for _ in range(2):
            request = aiocoap.Message(
                code=aiocoap.POST, uri=uri, payload=b"m" * octets
            )
            if echo is not None:
                request.opt.echo = echo
            response = await context.request(request).response
            codes.append(response.code.dotted)
            if response.code is not aiocoap.UNAUTHORIZED:
                break
            echo = response.opt.echo
        return {"codes": codes, "payload": response.payload.decode()}
    finally:
        await context.shutdown()


async def observe(uri: str) -> dict[str, object]:
    """Returns the payloads of some notifications."""
    context = await aiocoap.Context.create_client_context()
    try:
        request = aiocoap.Message(code=aiocoap.GET, uri=uri, observe=0)
        pending = context.request(request)
        first = await pending.response
        payloads = [first.payload.decode()]
        async for notification in pending.observation:
            payloads.append(notification.payload.decode())
            if len(payloads) >= _NOTIFICATIONS:
                break
        return {"code": first.code.dotted, "payloads": payloads}
    finally:
        await context.shutdown()


@program.command()
def run(
    kind: Annotated[str, typer.Argument(help="fetch, upload or observe")],
    uri: str,
    octets: int = 0,
) -> None:
    """Makes one call and prints what came as a line of JSON."""
    calls = {
        "fetch": lambda: fetch(uri),
        "upload": lambda: upload(uri, octets),
        "observe": lambda: observe(uri),
    }
    call = asyncio.wait_for(calls[kind](), _LIMIT_S)
    print(json.dumps(asyncio.run(call)))


if __name__ == "__main__":
    program()
