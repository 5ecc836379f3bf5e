"""Up to which revisions of the store a host knows all entries."""

from __future__ import annotations

from collections.abc import Callable


class Completeness:
    """Two revisions: one for all entries, one for those of upstreams alone.

    They differ while a long desired state is on its way, which is passed on
    by itself so that no change of an upstream waits for it.

    Attributes:
        revision: All changes of entries up to this revision are known. It is
            always that of an entry, so hosts that know the same have the same.
        upstreams_revision: The same for the entries of upstreams.
        tell_lack: Called when a desired state turns out to be missing.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.upstreams_revision = 0
        self.on_state_missing: Callable[[], None] | None = None
        # A desired state may be missing up to this revision.
        self._missing_state_revision = 0

    def is_state_missing(self) -> bool:
        """Tells whether a desired state is missing that others may have."""
        return self.revision < self._missing_state_revision

    def find_missing_state_revision(self) -> int:
        """Returns up to which revision one is missing, 0 if none is."""
        return self._missing_state_revision if self.is_state_missing() else 0

    def advance(self, revision: int) -> None:
        """Takes in that all entries are known up to a revision."""
        self.revision = max(self.revision, revision)
        self.advance_upstreams(revision)

    def advance_upstreams(self, revision: int) -> None:
        """Takes in that upstreams are known up to a revision.

        Where no desired state is missing, this holds for all entries.
        """
        self.upstreams_revision = max(self.upstreams_revision, revision)
        if not self.is_state_missing():
            self.revision = self.upstreams_revision

    def record_missing_state(self, revision: int) -> None:
        """Takes in that a desired state was left out up to a revision."""
        self._missing_state_revision = max(
            self._missing_state_revision, revision
        )
        if self.on_state_missing is not None and self.is_state_missing():
            self.on_state_missing()
