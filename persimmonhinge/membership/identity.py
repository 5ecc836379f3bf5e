"""This host's own record: refutation, leaving and new incarnations."""

from __future__ import annotations

from collections.abc import Callable
import logging

import msgspec

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.membership import member as members
from persimmonhinge.membership import pauses as pause_watches
from persimmonhinge.membership import record as records

logger = logging.getLogger(__name__)

_DOUBTS = (records.Claim.SUSPECT, records.Claim.DEAD)

# Called with the former and the new self.
IncarnationHook = Callable[[members.Member, members.Member], None]


class NameTakenError(errors.PeerError):
    """Another process, started later, bears the name of this host."""


class Identity:
    """What this host says of itself.

    Attributes:
        record: The record that each datagram carries.
        settled: True once this host has known all that some peer knew; from
            then on no former process of its name is news.
    """

    def __init__(
        self,
        me: members.Member,
        pauses: pause_watches.PauseWatch,
        death_s: float,
        wall_ms: Callable[[], int],
    ) -> None:
        """Makes the record of a host that starts.

        Args:
            me: This host.
            pauses: Tells whether this process did not run for a while.
            death_s: No shorter silence makes peers declare a host dead.
            wall_ms: Returns the wall clock, milliseconds.
        """
        self.record = records.Record.from_member(me)
        self.settled = False
        self._pauses = pauses
        self._death_s = death_s
        self._wall_ms = wall_ms
        self._hooks: list[IncarnationHook] = []

    def add_hook(self, hook: IncarnationHook) -> None:
        """Has a function called at each new incarnation."""
        self._hooks.append(hook)

    def say(self, claim: records.Claim) -> None:
        """Says something new of this host, on a new version."""
        self.record = msgspec.structs.replace(
            self.record, claim=claim, version=self.record.version + 1
        )

    def hear(self, record: records.Record) -> bool:
        """Hears what a peer believes of this host and answers to it.

        A doubt is refuted by a higher version. A host that was paused for
        long enough to be declared dead takes a new incarnation instead: its
        roles have been taken over meanwhile, and work that it had begun may
        have been judged lost. Any doubt counts then, since what it reads
        first is what peers sent before they declared it dead, and to refute
        that would undo the death before it has heard of it. A host that only
        was cut off went on running and knows all that it did; it keeps its
        incarnation, so that tickets that name it stay good.

        Returns:
            True if the own record changed.

        Raises:
            NameTakenError: Another process started later under this name.
        """
        if record.order <= self.record.order:
            return False
        if record.incarnation > self.record.incarnation:
            self._meet_namesake(record)
        elif record.claim in _DOUBTS and self._was_away():
            logger.warning("Peers gave this host up while it was paused.")
            self.take_incarnation(record.incarnation)
        else:
            self.record = msgspec.structs.replace(
                self.record, version=record.version + 1
            )
        return True

    def take_incarnation(self, above: ids.Incarnation) -> None:
        """Becomes a new incarnation, above an earlier one of this name."""
        former = self.record
        incarnation = max(self._wall_ms(), above + 1, former.incarnation + 1)
        self.record = msgspec.structs.replace(
            former, incarnation=ids.Incarnation(incarnation), version=0
        )
        self._pauses.clear()
        logger.info("New incarnation %d of this host.", incarnation)
        before = former.to_member(records.STATES[former.claim])
        after = self.record.to_member(records.STATES[former.claim])
        for hook in self._hooks:
            hook(before, after)

    def _was_away(self) -> bool:
        return self._pauses.longest_s >= self._death_s

    def _meet_namesake(self, record: records.Record) -> None:
        """Tells a former process of this name from one that replaced this.

        A former one is met while this host starts, holds the same port, or
        is dead: its clock ran ahead, and this host goes above it. Otherwise
        this host was replaced while it was paused or cut off. It gives way:
        two hosts that outbid each other would move each role for ever.
        """
        same_port = record.heartbeat_address == self.record.heartbeat_address
        dead = record.claim is records.Claim.DEAD
        if self.settled and not same_port and not dead:
            address, port = record.heartbeat_address
            raise NameTakenError(
                f"another process has the name {record.host}",
                step="keep membership",
                peer=f"{address}:{port}",
            )
        self.take_incarnation(record.incarnation)
