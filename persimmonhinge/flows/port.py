"""What the parts of a home need around them, as narrow interfaces."""

from __future__ import annotations

import dataclasses
from typing import Protocol

from persimmonhinge import ids
from persimmonhinge.coap import codec
from persimmonhinge.contracts import contract
from persimmonhinge.contracts import store
from persimmonhinge.peers.messages import work

CallerAddress = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Flow:
    """A caller at a service.

    Attributes:
        service: The service whose address it calls.
        caller: Its IP address and port.
    """

    service: ids.ServiceName
    caller: CallerAddress


class CallerSender(Protocol):
    """Sends datagrams to callers from the address of a service."""

    def send(self, flow: Flow, message: codec.Message) -> None:
        """Queues one datagram; message id, type and token are set."""

    def next_message_id(self, flow: Flow) -> int:
        """Returns a message id that this host has not used lately."""


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """Where one piece of work goes.

    Attributes:
        upstream: The upstream.
        keeper: Host that keeps it.
        keeper_ref: The incarnation of that host.
        may_be_busy: True if the upstream may turn out to have no free slot
            while another one, which could take the work too, has.
    """

    upstream: contract.Upstream
    keeper: ids.HostId
    keeper_ref: ids.HostRef
    may_be_busy: bool = False


class Chooser(Protocol):
    """Chooses upstreams from what the keepers report."""

    def choose(
        self,
        entry: store.ContractEntry,
        kind: contract.CallKind,
        *,
        exclude: frozenset[ids.UpstreamId] = frozenset(),
        keeper_refs: frozenset[ids.HostRef] | None = None,
    ) -> Choice | None:
        """Chooses an upstream by the policy of the contract.

        Args:
            entry: The contract.
            kind: REQUEST counts busy slots and queue, FEED open feeds.
            exclude: Upstreams that are not to be chosen.
            among: Keeper incarnations to stay with; None for all.

        Returns:
            None if no upstream can be reached through a keeper.
        """

    def pick_keepers(
        self, entry: store.ContractEntry, count: int
    ) -> tuple[ids.HostRef, ...]:
        """Returns keeper incarnations for a new ticket."""

    def record_load(
        self, service: ids.ServiceName, load: work.UpstreamLoad
    ) -> None:
        """Takes in a keeper's report that came with an answer."""

    def record_start(
        self,
        service: ids.ServiceName,
        upstream: ids.UpstreamId,
        kind: contract.CallKind,
    ) -> None:
        """Counts work that this host has begun at an upstream."""

    def record_end(
        self,
        service: ids.ServiceName,
        upstream: ids.UpstreamId,
        kind: contract.CallKind,
    ) -> None:
        """Counts work that this host has ended."""
