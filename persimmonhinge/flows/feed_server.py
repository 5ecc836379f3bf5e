"""What a home needs of the part that carries feeds."""

from __future__ import annotations

from typing import Protocol

from persimmonhinge.coap import codec
from persimmonhinge.contracts import contract
from persimmonhinge.contracts import store
from persimmonhinge.flows import port


class FeedServer(Protocol):
    """Opens and closes the feeds of callers."""

    def open(
        self,
        flow: port.Flow,
        message: codec.Message,
        entry: store.ContractEntry,
        call_class: contract.CallClass,
    ) -> None:
        """Takes a GET with Observe 0, each copy of it; answers it itself."""

    def close(self, flow: port.Flow, message: codec.Message) -> bool:
        """Takes a GET with Observe 1; False if there is no such feed."""

    def acknowledge(self, flow: port.Flow, message_id: int) -> bool:
        """Takes an ACK; False if it is for none of its notifications."""

    def reset(self, flow: port.Flow, message_id: int) -> bool:
        """Takes an RST; False if it is for none of its notifications."""

    def read_state(
        self, flow: port.Flow, message: codec.Message
    ) -> codec.Message | None:
        """Returns the newest answer of an open feed with its whole body.

        For a later block of a large notification (RFC 7959 section 2.6).
        None if the flow has no such feed.
        """
