"""An upstream together with the contract entry that defines it."""

from __future__ import annotations

import dataclasses

from persimmonhinge import ids
from persimmonhinge.contracts import contract
from persimmonhinge.contracts import store


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """An upstream and the contract entry that defines it.

    Attributes:
        entry: The contract and its revision.
        upstream: The upstream's section of the contract.
    """

    entry: store.ContractEntry
    upstream: contract.Upstream

    @property
    def service(self) -> ids.ServiceName:
        """Name of the service."""
        return ids.ServiceName(self.entry.contract.service)

    @property
    def key(self) -> ids.UpstreamId:
        """Key of the upstream, `service/upstream`, unique across services."""
        return make_key(self.service, ids.UpstreamId(self.upstream.id))

    @property
    def limits(self) -> contract.Limits:
        """Limits of the service, from its contract."""
        return self.entry.contract.limits

    @property
    def is_draining(self) -> bool:
        """True if the contract allows no new requests at this upstream."""
        return self.upstream.state is contract.UpstreamState.DRAINING


def make_key(
    service: ids.ServiceName, upstream: ids.UpstreamId
) -> ids.UpstreamId:
    """Returns the key by which an upstream is assigned to its keeper."""
    return ids.UpstreamId(f"{service}/{upstream}")
