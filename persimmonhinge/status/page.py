"""The HTTP pages of a host: health, readiness, metrics, status, routes."""

from __future__ import annotations

from collections.abc import Callable

from persimmonhinge import ids
from persimmonhinge.metrics import counts as host_counts
from persimmonhinge.metrics import host_pages
from persimmonhinge.metrics import page
from persimmonhinge.status import document

_BAD_REQUEST = 400
_NOT_FOUND = 404


class StatusPages:
    """Enters the pages into a page server."""

    def __init__(
        self,
        server: page.PageServer,
        status: document.StatusDocument,
        counts: host_counts.Counts,
        is_ready: Callable[[], bool],
    ) -> None:
        self._status = status
        self._is_ready = is_ready
        server.pages.register("/healthz")(self.show_health)
        host_pages.HostPages(server, counts, is_ready, "/readyz")
        server.pages.register("/status")(self.show_status)
        server.pages.register("/explain")(self.explain)

    async def show_health(self, request: page.PageRequest) -> page.PageAnswer:
        """Says that the process runs."""
        return page.PageAnswer(b"ok\n")

    async def show_status(self, request: page.PageRequest) -> page.PageAnswer:
        """Shows the status as JSON."""
        return page.make_json(self._status.describe(ready=self._is_ready()))

    async def explain(self, request: page.PageRequest) -> page.PageAnswer:
        """Says where the flow of `service` and `caller` goes."""
        service = ids.ServiceName(request.query.get("service", ""))
        host, _, port = request.query.get("caller", "").rpartition(":")
        if not host or not port.isdigit():
            text = b"caller is to be written as address:port\n"
            return page.PageAnswer(text, status=_BAD_REQUEST)
        explanation = self._status.explain(service, (host, int(port)))
        if explanation is None:
            text = f"no contract for service {service!r}\n".encode()
            return page.PageAnswer(text, status=_NOT_FOUND)
        return page.make_json(explanation)
