"""Interface between the home and the code that serves feeds."""

from __future__ import annotations

from typing import Protocol

from persimmonhinge.coap import codec
from persimmonhinge.contracts import contract
from persimmonhinge.contracts import store
from persimmonhinge.flows import port


class FeedServer(Protocol):
    """Opens and closes the feeds (CoAP observations) of callers."""

    def open(
        self,
        flow: port.Flow,
        message: codec.Message,
        entry: store.ContractEntry,
        call_class: contract.CallClass,
    ) -> None:
        """Handles a GET with Observe 0, including copies, and replies to it."""

    def close(self, flow: port.Flow, message: codec.Message) -> bool:
        """Handles a GET with Observe 1; returns False without an open feed."""

    def acknowledge(self, flow: port.Flow, message_id: int) -> bool:
        """Handles an ACK; returns False if it matches no notification."""

    def reset(self, flow: port.Flow, message_id: int) -> bool:
        """Handles an RST; returns False if it matches no notification."""

    def read_state(
        self, flow: port.Flow, message: codec.Message
    ) -> codec.Message | None:
        """Returns the latest notification of an open feed with its whole body.

        Later blocks of a large notification are read from it (RFC 7959
        section 2.6).

        Returns:
            The notification; None if the flow has no such feed.
        """
