"""A request of a raw caller, and all that it was answered."""

from __future__ import annotations

import dataclasses
import random

import aiocoap

from persimmonhinge.client import answer as client_answers
from persimmonhinge.coap import codec

Outcome = client_answers.Outcome


@dataclasses.dataclass(slots=True)
class RawRequest:
    """A request as it was written.

    Attributes:
        key: Its key in the upstreams' logs.
        octets: The datagram.
        answers: Every answer, from whichever host, in order.
        message_ids: Those of its copies.
    """

    key: str
    octets: bytes
    answers: list[codec.Message] = dataclasses.field(default_factory=list)
    message_ids: set[int] = dataclasses.field(default_factory=set)

    def __post_init__(self) -> None:
        self.message_ids.add(_read_message_id(self.octets))

    @property
    def outcomes(self) -> list[Outcome]:
        """What each answer says of the request."""
        return [read_outcome(answer) for answer in self.answers]

    @property
    def is_refused(self) -> bool:
        """True if an answer says that it did not run."""
        return Outcome.REFUSED in self.outcomes

    @property
    def is_answered(self) -> bool:
        """True if an answer is that of the upstream."""
        return Outcome.ANSWERED in self.outcomes

    @property
    def is_unknown(self) -> bool:
        """True if an answer says that its outcome is unknown."""
        return Outcome.UNKNOWN in self.outcomes

    def change_message_id(self, source: random.Random) -> bytes:
        """Returns the datagram with another message id, as a retry has."""
        data = self.octets[:2] + source.randbytes(2) + self.octets[4:]
        self.message_ids.add(_read_message_id(data))
        return data

    def describe(self) -> list[str]:
        """Returns the answers for people."""
        return [
            f"{answer.code.dotted} {answer.payload[:60]!r}"
            for answer in self.answers
        ]


def _read_message_id(data: bytes) -> int:
    return int.from_bytes(data[2:4], "big")


def read_outcome(answer: codec.Message) -> Outcome:
    """Returns what an answer says; 4.01 says that nothing ran."""
    if answer.code is aiocoap.UNAUTHORIZED:
        return Outcome.REFUSED
    return client_answers.read_answer(answer).outcome
