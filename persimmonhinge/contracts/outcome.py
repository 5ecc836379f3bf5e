"""Errors that tell operators what became of a change."""

from __future__ import annotations

from persimmonhinge import errors
from persimmonhinge import ids


class OutcomeUnknownError(errors.PlatformUnavailableError):
    """A change may have taken effect, and the platform can't be asked.

    Attributes:
        request_id: Id under which the command may be repeated.
    """

    def __init__(self, request_id: ids.RequestId, *, peer: str) -> None:
        super().__init__(
            "the change may have taken effect; repeat the command with "
            f"--request-id {request_id} to learn it: nothing is done twice",
            step="write change",
            peer=peer,
        )
        self.request_id = request_id


class RequestIdReusedError(errors.ContractError):
    """A request id belongs to another change."""
