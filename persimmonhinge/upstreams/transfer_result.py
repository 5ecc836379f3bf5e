"""How a transfer ended."""

from __future__ import annotations

import dataclasses
import enum

from persimmonhinge.coap import codec
from persimmonhinge.upstreams import shedding


class TransferStatus(enum.Enum):
    """How a transfer ended.

    ANSWERED: The whole answer is there.
    SHED: The upstream refused the request; it did not run.
    REFUSED: Nothing listens at the address, or it reset the request.
    NOT_RUN: The request did not reach the upstream as a whole.
    UNKNOWN: It may have run.
    """

    ANSWERED = "answered"
    SHED = "shed"
    REFUSED = "refused"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class TransferResult:
    """The end of a transfer.

    Attributes:
        end: How it ended.
        answer: The whole answer for ANSWERED, the refusal for SHED.
        reason: Why it did not end with an answer, for people.
    """

    status: TransferStatus
    answer: codec.Message | None = None
    reason: str = ""

    @property
    def received(self) -> codec.Message:
        """What the upstream sent, for an end of ANSWERED or SHED."""
        assert self.answer is not None
        return self.answer

    @property
    def retry_after_s(self) -> int:
        """Max-Age of the refusal, seconds; 0 without one."""
        if self.status is not TransferStatus.SHED or self.answer is None:
            return 0
        return shedding.read_retry_s(self.answer)
