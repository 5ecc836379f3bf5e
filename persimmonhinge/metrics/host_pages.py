"""The HTTP pages that hosts of all kinds have: readiness and metrics."""

from __future__ import annotations

from collections.abc import Callable

import trio

from persimmonhinge.metrics import counts as host_counts
from persimmonhinge.metrics import page

_NOT_READY = 503
METRICS_PATH = "/metrics"


class HostPages:
    """Enters readiness and metrics into a page server."""

    def __init__(
        self,
        server: page.PageServer,
        counts: host_counts.Counts,
        is_ready: Callable[[], bool],
        readiness_path: str,
    ) -> None:
        """Enters the pages.

        Args:
            server: The server.
            counts: Counters of the host.
            is_ready: Tells whether the fabric should send packets here.
            readiness_path: Where the host says so.
        """
        self._counts = counts
        self._is_ready = is_ready
        server.pages.register(readiness_path)(self.show_readiness)
        server.pages.register(METRICS_PATH)(self.show_metrics)

    async def show_readiness(
        self, request: page.PageRequest
    ) -> page.PageAnswer:
        """Says whether the fabric should send packets here."""
        if self._is_ready():
            return page.PageAnswer(b"ready\n")
        return page.PageAnswer(b"not ready\n", status=_NOT_READY)

    async def show_metrics(self, request: page.PageRequest) -> page.PageAnswer:
        """Shows all counts in the Prometheus text format."""
        # The import takes long, and a host must serve before it.
        from persimmonhinge.metrics import render

        body = bytearray()
        content_type = page.TEXT_TYPE
        for piece in render.render_pieces(self._counts, request.accept):
            body += piece[0]
            content_type = piece[1]
            # Lets the host read packets between two pieces.
            await trio.lowlevel.checkpoint()
        return page.PageAnswer(bytes(body), content_type)
