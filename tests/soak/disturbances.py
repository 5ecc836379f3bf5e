"""What was disturbed, and when."""

from __future__ import annotations

from collections.abc import Iterator
import contextlib
import dataclasses
import time

STORE = "store"


@dataclasses.dataclass(slots=True)
class Disturbance:
    """A time in which something was not as it should be.

    Attributes:
        what: Name of a host, an upstream, or the store.
        planned: True for planned work, which must cost nobody anything.
        begun_at: Seconds of the monotonic clock.
        ended_at: The same; infinite while it lasts.
    """

    what: str
    planned: bool
    begun_at: float
    ended_at: float = float("inf")


class Disturbances:
    """All disturbances of a run."""

    def __init__(self) -> None:
        self.all: list[Disturbance] = []

    @contextlib.contextmanager
    def record(self, what: str, *, planned: bool = False) -> Iterator[None]:
        """Records a disturbance from here to the end of the block."""
        found = Disturbance(what, planned, time.monotonic())
        self.all.append(found)
        try:
            yield
        finally:
            found.ended_at = time.monotonic()

    def is_calm(self, what: set[str], since: float, until: float) -> bool:
        """Tells whether none of some things was disturbed in a time."""
        return not any(
            found.what in what and _overlaps(found, since, until)
            for found in self.all
        )

    def is_disturbed(self, what: str, since: float) -> bool:
        """Tells whether a thing had more than planned work since a time."""
        return any(
            found.what == what
            and not found.planned
            and _overlaps(found, since, time.monotonic())
            for found in self.all
        )

    def is_all_calm(self, since: float, until: float) -> bool:
        """Tells whether there was nothing but planned work in a time."""
        return not any(
            not found.planned and _overlaps(found, since, until)
            for found in self.all
        )


def _overlaps(found: Disturbance, since: float, until: float) -> bool:
    return found.begun_at <= until and found.ended_at >= since
