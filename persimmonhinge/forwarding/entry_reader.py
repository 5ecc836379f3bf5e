"""Interface through which a host decodes the platform's entries."""

from __future__ import annotations

from typing import Protocol

from persimmonhinge import ids
from persimmonhinge.forwarding import desired_state
from persimmonhinge.forwarding import upstream


class EntryReader(Protocol):
    """Decodes the platform's entries; implemented by the platform adapter.

    Attributes:
        state_key: Key of the desired state.
        upstreams_prefix: Prefix of the keys of upstream entries.
        evacuations_prefix: Prefix of the keys whose entries evacuate failure
            domains.
    """

    state_key: str
    upstreams_prefix: str
    evacuations_prefix: str

    def read_state(self, value: bytes) -> desired_state.DesiredState:
        """Decodes the desired state.

        Raises:
            UnreadableEntryError: The value is not a valid desired state.
        """

    def read_upstream(self, key: str, value: bytes) -> upstream.Upstream:
        """Decodes an upstream.

        Raises:
            UnreadableEntryError: The key or value is not that of an upstream.
        """

    def read_evacuated_domain(self, key: str) -> ids.DomainId:
        """Returns the failure domain that the entry of a key evacuates.

        Raises:
            UnreadableEntryError: The key does not name a failure domain.
        """
