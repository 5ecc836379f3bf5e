"""The format of the platform's entries, as a host asks for it."""

from __future__ import annotations

from typing import Protocol

from persimmonhinge import ids
from persimmonhinge.forwarding import desired_state as desired_states
from persimmonhinge.forwarding import upstream as upstreams


class EntryReader(Protocol):
    """Reads the platform's entries; the adapter implements it.

    Attributes:
        state_key: Key of the desired state.
        upstreams_prefix: Prefix of the keys of upstreams.
        evacuations_prefix: Prefix of the keys that evacuate failure domains.
    """

    state_key: str
    upstreams_prefix: str
    evacuations_prefix: str

    def read_state(self, value: bytes) -> desired_states.DesiredState:
        """Reads the desired state.

        Raises:
            UnreadableEntryError: It is not one.
        """

    def read_upstream(self, key: str, value: bytes) -> upstreams.Upstream:
        """Reads an upstream.

        Raises:
            UnreadableEntryError: It is not one.
        """

    def read_evacuated_domain(self, key: str) -> ids.DomainId:
        """Reads which failure domain an entry evacuates.

        Raises:
            UnreadableEntryError: It names none.
        """
