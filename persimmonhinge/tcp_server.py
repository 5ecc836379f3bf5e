"""Accepts TCP connections for as long as a server runs."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import logging
from typing import NoReturn

import trio

logger = logging.getLogger(__name__)

# Time between an error of the kernel and the next call, seconds.
_ACCEPT_RETRY_INTERVAL_S = 0.1

Handler = Callable[[trio.SocketStream], Awaitable[None]]


async def serve_connections(
    handler: Handler,
    listeners: Sequence[trio.SocketListener],
    handler_nursery: trio.Nursery | None = None,
) -> NoReturn:
    """Serves connections, each in a task, until cancelled.

    An error of the kernel does not end it: accept(2) also reports errors of the
    network, and `trio.serve_listeners` goes on only after a lack of descriptors
    or memory.

    Args:
        handler: Serves one connection and closes it; raises no error.
        listeners: Where connections arrive; they are closed at the end.
        handler_nursery: Where the handlers run; None for a nursery that ends
            with this function.
    """
    async with trio.open_nursery() as nursery:
        for listener in listeners:
            nursery.start_soon(
                _accept, listener, handler, handler_nursery or nursery
            )
    raise AssertionError("listeners accept until they are cancelled")


async def _accept(
    listener: trio.SocketListener, handler: Handler, nursery: trio.Nursery
) -> None:
    async with listener:
        while True:
            try:
                stream = await listener.accept()
            except OSError as error:
                logger.error(
                    "Can't accept a connection.",
                    extra={
                        "port": listener.socket.getsockname()[1],
                        "error": str(error),
                    },
                )
                await trio.sleep(_ACCEPT_RETRY_INTERVAL_S)
            else:
                nursery.start_soon(handler, stream)
