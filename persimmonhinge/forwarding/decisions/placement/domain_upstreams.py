"""Ready upstreams of a service, grouped by failure domain."""

from __future__ import annotations

from collections.abc import Sequence

from persimmonhinge import ids
from persimmonhinge import records
from persimmonhinge.forwarding import directory as directory_module
from persimmonhinge.forwarding import service_limit
from persimmonhinge.forwarding import upstream as upstream_module


class _Groups(records.Record, frozen=True):
    """The ready upstreams of a service.

    Attributes:
        ready: All of them, as the directory listed them.
        by_domain: The same by failure domain.
    """

    ready: Sequence[upstream_module.Upstream]
    by_domain: dict[ids.DomainId, list[upstream_module.Upstream]]


class DomainUpstreams:
    """Caches the ready upstreams of each service by failure domain."""

    def __init__(self, directory: directory_module.Directory) -> None:
        self._directory = directory
        self._groups: dict[ids.ServiceName, _Groups] = {}

    def list_ready(
        self, service: ids.ServiceName, domain: ids.DomainId
    ) -> Sequence[upstream_module.Upstream]:
        """Returns the ready upstreams of a service in a failure domain."""
        ready = self._directory.list_ready(service)
        groups = self._groups.get(service)
        if groups is None or groups.ready is not ready:
            groups = self._groups[service] = _group(ready)
            service_limit.remove_oldest(self._groups)
        return groups.by_domain.get(domain, ())


def _group(ready: Sequence[upstream_module.Upstream]) -> _Groups:
    by_domain: dict[ids.DomainId, list[upstream_module.Upstream]] = {}
    for upstream in ready:
        by_domain.setdefault(upstream.domain, []).append(upstream)
    return _Groups(ready, by_domain)
