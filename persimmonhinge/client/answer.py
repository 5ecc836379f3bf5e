"""What became of a request, as its caller knows it."""

from __future__ import annotations

import dataclasses
import enum

import aiocoap

from persimmonhinge.coap import codec

# RFC 7252, 5.10.5: the Max-Age of an answer that names none.
DEFAULT_MAX_AGE_S = 60

_NOT_RUN_CODES = frozenset(
    {aiocoap.Code.SERVICE_UNAVAILABLE, aiocoap.Code.TOO_MANY_REQUESTS}
)
# 4.08 says that blocks are missing: an earlier copy of the last block may
# have been whole, and have run, before a host lost the others.
_UNKNOWN_CODES = frozenset(
    {
        aiocoap.Code.GATEWAY_TIMEOUT,
        aiocoap.Code.BAD_GATEWAY,
        aiocoap.Code.REQUEST_ENTITY_INCOMPLETE,
    }
)


class Outcome(enum.Enum):
    """What a caller knows of its request.

    ANSWERED: There is an answer, be it a success or an error.
    REFUSED: It did not run and may be sent again later as a new request.
    UNKNOWN: It may have run.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The end of a request.

    Attributes:
        outcome: What the caller knows.
        code: CoAP code of the answer, None if none came.
        payload: The whole body.
        max_age_s: Max-Age of the answer, None if it has none.
    """

    outcome: Outcome
    code: aiocoap.Code | None = None
    payload: bytes = b""
    max_age_s: int | None = None

    @property
    def successful(self) -> bool:
        """True if the service answered with a code of class 2."""
        return self.code is not None and self.code.is_successful()

    @property
    def retry_after_s(self) -> int:
        """Seconds after which a refused request is welcome; 0 for others."""
        if self.outcome is not Outcome.REFUSED:
            return 0
        if self.max_age_s is None:
            return DEFAULT_MAX_AGE_S
        return self.max_age_s


def read_answer(message: codec.Message) -> Answer:
    """Returns what an answer means for its caller."""
    outcome = Outcome.ANSWERED
    if message.code in _NOT_RUN_CODES:
        outcome = Outcome.REFUSED
    elif message.code in _UNKNOWN_CODES:
        outcome = Outcome.UNKNOWN
    return Answer(outcome, message.code, message.payload, message.opt.max_age)
