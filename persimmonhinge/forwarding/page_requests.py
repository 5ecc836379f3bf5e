"""Records page requests among the inputs that a host refuses."""

from __future__ import annotations

from persimmonhinge import errors
from persimmonhinge.forwarding import input_source
from persimmonhinge.forwarding import refusals as refusals_module


class PageRequests:
    """Implements `request_record.RequestRecord`."""

    def __init__(self, refusals: refusals_module.Refusals) -> None:
        """Creates the record.

        Args:
            refusals: Counts and logs the requests.
        """
        self._refusals = refusals

    def record_refusal(
        self, peer: str, error: errors.MalformedRequestError
    ) -> None:
        """See `request_record.RequestRecord`."""
        self._refusals.record_refusal(
            input_source.InputSource.PAGE_REQUEST, peer, error
        )

    def record_failure(self, peer: str, error: Exception) -> None:
        """See `request_record.RequestRecord`."""
        self._refusals.record_failure(
            input_source.InputSource.PAGE_REQUEST, peer, error
        )
