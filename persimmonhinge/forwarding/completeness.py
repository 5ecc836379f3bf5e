"""Revisions of the store up to which a host has all entries."""

from __future__ import annotations

from collections.abc import Callable


class Completeness:
    """Tracks two revisions: one for all entries, one for upstream entries.

    The two differ while a long desired state is being transferred. It is sent
    separately so that changes of upstreams do not wait for it.

    Attributes:
        revision: Revision up to which all changes of entries are known. It is
            always the revision of an entry, so that hosts with the same
            entries report the same revision.
        upstreams_revision: Revision up to which all changes of upstream
            entries are known.
        on_state_missing: Called when a desired state is found to be missing.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.upstreams_revision = 0
        self.on_state_missing: Callable[[], None] | None = None
        # Newest revision at which a desired state may be missing.
        self._missing_state_revision = 0

    def is_state_missing(self) -> bool:
        """Returns whether other hosts may have a state that this one lacks."""
        return self.revision < self._missing_state_revision

    def find_missing_state_revision(self) -> int:
        """Returns the revision up to which a state may be missing, or 0."""
        return self._missing_state_revision if self.is_state_missing() else 0

    def advance(self, revision: int) -> None:
        """Records that all entries are known up to a revision."""
        self.revision = max(self.revision, revision)
        self.advance_upstreams(revision)

    def advance_upstreams(self, revision: int) -> None:
        """Records that all upstream entries are known up to a revision.

        If no desired state is missing, all other entries are known, too.
        """
        self.upstreams_revision = max(self.upstreams_revision, revision)
        if not self.is_state_missing():
            self.revision = self.upstreams_revision

    def record_missing_state(self, revision: int) -> None:
        """Records that a sender omitted a desired state up to a revision."""
        self._missing_state_revision = max(
            self._missing_state_revision, revision
        )
        if self.on_state_missing is not None and self.is_state_missing():
            self.on_state_missing()
