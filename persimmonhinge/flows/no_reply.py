"""What a part of the home may decide instead of an answer."""

from __future__ import annotations


class NoReply:
    """No answer: the caller's next copy finds a host that can answer."""
