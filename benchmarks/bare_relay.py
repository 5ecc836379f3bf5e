"""The floor: a trio process that passes datagrams to and fro, no more."""

from __future__ import annotations

from typing import Annotated

import trio
import typer

program = typer.Typer(add_completion=False)


async def relay(upstream: tuple[str, int]) -> None:
    """Relays callers' datagrams to an upstream and its answers back.

    The token, octets 4 to 8, tells whose an answer is.
    """
    front = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
    await front.bind(("127.0.0.1", 0))
    back = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
    await back.bind(("127.0.0.1", 0))
    print(f"listening on 127.0.0.1:{front.getsockname()[1]}", flush=True)
    callers: dict[bytes, tuple[str, int]] = {}

    async def pass_up() -> None:
        while True:
            data, source = await front.recvfrom(2048)
            callers[data[4:8]] = source
            await back.sendto(data, upstream)

    async def pass_down() -> None:
        while True:
            data, _ = await back.recvfrom(2048)
            source = callers.pop(data[4:8], None)
            if source is not None:
                await front.sendto(data, source)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(pass_up)
        nursery.start_soon(pass_down)


@program.command()
def run(
    upstream: Annotated[str, typer.Argument(help="address:port")],
) -> None:
    """Runs until it is ended."""
    host, _, port = upstream.rpartition(":")
    trio.run(relay, (host, int(port)))


if __name__ == "__main__":
    program()
