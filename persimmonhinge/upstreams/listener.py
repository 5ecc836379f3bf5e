"""Interface of a receiver of answers."""

from __future__ import annotations

from typing import Protocol

from persimmonhinge.coap import codec


class Listener(Protocol):
    """Receives all answers with one token."""

    def receive(self, answer: codec.Message) -> bool:
        """Handles an answer.

        Returns:
            False if the answer is unwanted; the upstream is then sent a reset.
        """
