"""Interface to which a page server reports requests that it can't serve."""

from __future__ import annotations

import logging
from typing import Protocol

from persimmonhinge import errors

logger = logging.getLogger(__name__)


class RequestRecord(Protocol):
    """Counts or logs requests that a page server could not serve."""

    def record_refusal(
        self, peer: str, error: errors.MalformedRequestError
    ) -> None:
        """Records a request that was refused.

        Args:
            peer: Address of the sender; empty if it is gone.
            error: Why the request was refused.
        """

    def record_failure(self, peer: str, error: Exception) -> None:
        """Records a request whose page raised an unexpected error.

        Args:
            peer: Address of the sender; empty if it is gone.
            error: The error.
        """


class LoggedRequests:
    """Writes a log line for each of these requests; a `RequestRecord`."""

    def record_refusal(
        self, peer: str, error: errors.MalformedRequestError
    ) -> None:
        """See `RequestRecord`."""
        logger.debug("A page request was refused: %s.", error)

    def record_failure(self, peer: str, error: Exception) -> None:
        """See `RequestRecord`."""
        logger.error("A page request failed.", exc_info=error)
