"""The sockets to one upstream: the current one and replaced ones."""

from __future__ import annotations

import logging

from persimmonhinge import ids
from persimmonhinge.contracts import contract
from persimmonhinge.upstreams import context as context_module
from persimmonhinge.upstreams import endpoint as endpoint_module

logger = logging.getLogger(__name__)


class Endpoints:
    """Provides a socket for new requests and replaces it when necessary.

    A socket is replaced when its message ids are exhausted, and when no
    datagrams are received on it any more: a device on the path that tracks
    connections, such as a NAT, may have lost its entry for this socket while
    a new socket would work. Requests and feeds that use a replaced socket
    stay on it until they end.
    """

    def __init__(
        self,
        context: context_module.KeeperContext,
        service: ids.ServiceName,
        address: contract.Address,
    ) -> None:
        self._context = context
        self._service = service
        self._address = address
        self._current: endpoint_module.Endpoint | None = None
        self._replaced: list[endpoint_module.Endpoint] = []

    def get(self) -> endpoint_module.Endpoint:
        """Returns the endpoint for new requests."""
        current = self._current
        if current is not None and not current.is_exhausted:
            return current
        if current is not None:
            self._store_replaced(current)
        self._current = self._open()
        return self._current

    def replace_if_silent(
        self, endpoint: endpoint_module.Endpoint, since: float
    ) -> None:
        """Replaces the socket if it has received nothing since a request.

        Args:
            endpoint: Endpoint on which the request got no reply.
            since: Time at which the request started.
        """
        if endpoint is self._current and endpoint.last_received_at < since:
            logger.info(
                "No datagram received from upstream %s; replacing the socket.",
                self._address,
            )
            self._context.counts.add("upstream_sockets_replaced_total")
            self._store_replaced(endpoint)
            self._current = None

    def close_idle(self) -> None:
        """Closes replaced sockets that no request or feed uses."""
        for endpoint in [e for e in self._replaced if e.is_idle]:
            self._replaced.remove(endpoint)
            endpoint.close()

    def close(self) -> None:
        """Closes the current socket and all replaced ones."""
        if self._current is not None:
            self._replaced.append(self._current)
            self._current = None
        for endpoint in self._replaced:
            endpoint.close()
        self._replaced.clear()

    def _open(self) -> endpoint_module.Endpoint:
        endpoint = endpoint_module.Endpoint(
            self._context.open_socket(self._address),
            str(self._address),
            self._may_send,
            self._context.counts,
            self._context.randomness,
        )
        self._context.start_soon(endpoint.run)
        return endpoint

    def _store_replaced(self, endpoint: endpoint_module.Endpoint) -> None:
        self._replaced.append(endpoint)
        self.close_idle()

    def _may_send(self) -> bool:
        return self._context.contracts.may_send(self._service, self._address)
