"""Which fault is in force for which traffic."""

from __future__ import annotations

import enum
import random

import msgspec

from persimmonhinge import changes


class Direction(enum.Enum):
    """Which way traffic goes through the proxy.

    FORWARD: From whoever connects or sends to the target.
    BACK: From the target.
    """

    FORWARD = "forward"
    BACK = "back"


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What is wrong with one direction.

    Attributes:
        cut: Nothing passes. Datagrams are lost. Octets of TCP wait until the
            cut ends, as TCP would send them again.
        drop: Part of the datagrams that are lost, 0 to 1. For TCP, part of
            the chunks that come late by a retransmission.
        delay_s: How much later all arrives, seconds.
        duplicate: Part of the datagrams that arrive twice, 0 to 1.
        reorder: Part of the datagrams that arrive after later ones, 0 to 1.
    """

    cut: bool = False
    drop: float = 0.0
    delay_s: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0


NO_FAULT = Fault()
_Key = tuple[str | None, str | None, Direction]


class FaultTable:
    """Faults by mapping, source address and direction.

    Attributes:
        changed: Announced at each change.
    """

    def __init__(self, seed: int) -> None:
        self.changed = changes.ChangeSignal()
        self._seed = seed
        self._faults: dict[_Key, Fault] = {}

    def set(
        self,
        fault: Fault,
        *,
        name: str | None = None,
        source: str | None = None,
        direction: Direction | None = None,
    ) -> None:
        """Sets a fault.

        Args:
            fault: The fault; one without any fault ends an earlier one.
            name: Mapping that it holds for; None for all.
            source: IP address that connects or sends; None for all.
            direction: Which way; None for both.
        """
        for one in Direction if direction is None else (direction,):
            self._faults[(name, source, one)] = fault
        self.changed.announce()

    def clear(self) -> None:
        """Ends all faults."""
        self._faults.clear()
        self.changed.announce()

    def find(self, name: str, source: str, direction: Direction) -> Fault:
        """Returns the fault in force; the most exact setting counts."""
        for key in (
            (name, source, direction),
            (name, None, direction),
            (None, source, direction),
            (None, None, direction),
        ):
            fault = self._faults.get(key)
            if fault is not None:
                return fault
        return NO_FAULT

    async def wait_uncut(
        self, name: str, source: str, direction: Direction
    ) -> None:
        """Returns once the direction is not cut."""
        while True:
            version = self.changed.version
            if not self.find(name, source, direction).cut:
                return
            await self.changed.wait_beyond(version)

    def make_random(self, name: str, direction: Direction) -> random.Random:
        """Returns the seeded generator of one direction of a mapping."""
        return random.Random(f"{self._seed}/{name}/{direction.value}")
