"""Errors that callers see."""

from __future__ import annotations

from persimmonhinge import errors
from persimmonhinge.client import answer as answers


class FeedEndedError(errors.PersimmonhingeError):
    """A service ended a feed with an error that a retry would not mend.

    Attributes:
        answer: The answer that ended it.
    """

    def __init__(self, answer: answers.Answer, *, peer: str) -> None:
        super().__init__(f"answer {answer.code}", step="observe", peer=peer)
        self.answer = answer


class BodyChangedError(errors.PersimmonhingeError):
    """The blocks of an answer are not all of one representation."""
