"""Interfaces through which the home sends datagrams and chooses upstreams."""

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
    """The traffic between one caller and one service.

    Attributes:
        service: The service whose address the caller sends to.
        caller: IP address and port of the caller.
    """

    service: ids.ServiceName
    caller: CallerAddress


class CallerSender(Protocol):
    """Sends datagrams to callers from the address of a service."""

    def send(self, flow: Flow, message: codec.Message) -> None:
        """Sends one datagram; its message id, type and token must be set."""

    def next_message_id(self, flow: Flow) -> int:
        """Returns a message id that wasn't used recently for this caller."""


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The upstream chosen for one request or feed.

    Attributes:
        upstream: The chosen upstream.
        keeper: The host that sends to this upstream.
        keeper_ref: The incarnation of the keeper.
        may_be_busy: True if the upstream may have no free slot while another
            suitable upstream has one.
    """

    upstream: contract.Upstream
    keeper: ids.HostId
    keeper_ref: ids.HostRef
    may_be_busy: bool = False


class Chooser(Protocol):
    """Chooses upstreams by the load that their keepers report."""

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
            kind: REQUEST compares busy slots and queue lengths, FEED the
                numbers of open feeds.
            exclude: Upstreams that must not be chosen.
            keeper_refs: Keeper incarnations whose upstreams may be chosen;
                None for all.

        Returns:
            The choice; None if no upstream can be reached through a keeper.
        """

    def pick_keepers(
        self, entry: store.ContractEntry, count: int
    ) -> tuple[ids.HostRef, ...]:
        """Returns at most `count` keeper incarnations for a new ticket."""

    def record_load(
        self, service: ids.ServiceName, load: work.UpstreamLoad
    ) -> None:
        """Records the load that a keeper reported with its reply."""

    def record_start(
        self,
        service: ids.ServiceName,
        upstream: ids.UpstreamId,
        kind: contract.CallKind,
    ) -> None:
        """Records that a request or feed of this host has started."""

    def record_end(
        self,
        service: ids.ServiceName,
        upstream: ids.UpstreamId,
        kind: contract.CallKind,
    ) -> None:
        """Records that a request or feed of this host has ended."""
