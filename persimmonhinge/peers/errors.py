"""Errors of links that tell more than that a host can't be reached."""

from __future__ import annotations

from persimmonhinge import errors


class PeerGaveUpError(errors.PeerUnreachableError):
    """The host refused the link, as it has given up the one that dialed.

    It counts that incarnation as dead, or knows a newer one.
    """
