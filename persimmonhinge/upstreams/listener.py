"""What takes the answers that come on one token."""

from __future__ import annotations

from typing import Protocol

from persimmonhinge.coap import codec


class Listener(Protocol):
    """Takes all answers on one token."""

    def receive(self, answer: codec.Message) -> bool:
        """Takes an answer.

        Returns:
            False if it is unwanted: the upstream is told so by a reset.
        """
