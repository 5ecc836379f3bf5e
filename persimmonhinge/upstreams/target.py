"""An upstream as the newest contract of its service describes it."""

from __future__ import annotations

import dataclasses

from persimmonhinge import ids
from persimmonhinge.contracts import contract
from persimmonhinge.contracts import store


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """An upstream within its contract.

    Attributes:
        entry: The contract and its revision.
        upstream: The upstream.
    """

    entry: store.ContractEntry
    upstream: contract.Upstream

    @property
    def service(self) -> ids.ServiceName:
        """Name of the service."""
        return ids.ServiceName(self.entry.contract.service)

    @property
    def key(self) -> ids.UpstreamId:
        """The upstream's name, unique across services."""
        return make_key(self.service, ids.UpstreamId(self.upstream.id))

    @property
    def limits(self) -> contract.Limits:
        """Limits of the service."""
        return self.entry.contract.limits

    @property
    def is_draining(self) -> bool:
        """True if the contract wants no new work there."""
        return self.upstream.state is contract.UpstreamState.DRAINING


def make_key(
    service: ids.ServiceName, upstream: ids.UpstreamId
) -> ids.UpstreamId:
    """Returns the name by which upstreams are placed on hosts."""
    return ids.UpstreamId(f"{service}/{upstream}")
