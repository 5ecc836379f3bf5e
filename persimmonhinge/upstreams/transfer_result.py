"""The result of a transfer."""

from __future__ import annotations

import dataclasses
import enum

from persimmonhinge.coap import codec
from persimmonhinge.upstreams import shedding


class TransferStatus(enum.Enum):
    """How a transfer ended.

    ANSWERED: The whole answer was received.
    SHED: The upstream refused the request; it did not run.
    REFUSED: No process listens at the address, or it reset the request.
    NOT_RUN: The upstream did not receive the whole request.
    UNKNOWN: The request may have run.
    """

    ANSWERED = "answered"
    SHED = "shed"
    REFUSED = "refused"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class TransferResult:
    """The result of a transfer.

    Attributes:
        status: How the transfer ended.
        answer: The whole answer for ANSWERED, the refusal for SHED.
        reason: Why there is no answer, as text for operators.
    """

    status: TransferStatus
    answer: codec.Message | None = None
    reason: str = ""

    @property
    def received(self) -> codec.Message:
        """Answer of the upstream; the status must be ANSWERED or SHED."""
        assert self.answer is not None
        return self.answer

    @property
    def retry_after_s(self) -> int:
        """Max-Age of the refusal, seconds; 0 for any other status."""
        if self.status is not TransferStatus.SHED or self.answer is None:
            return 0
        return shedding.read_retry_s(self.answer)
