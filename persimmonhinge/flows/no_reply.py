"""The decision of a home to leave a request without a reply."""

from __future__ import annotations


class NoReply:
    """Decision to send no reply to a copy of a request.

    The caller repeats the request, and a later copy reaches a host that can
    answer it.
    """
