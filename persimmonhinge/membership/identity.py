"""This host's own record: refutation, leaving and new incarnations."""

from __future__ import annotations

from collections.abc import Callable
import logging

import msgspec

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.membership import member
from persimmonhinge.membership import pauses as pauses_module
from persimmonhinge.membership import record as record_module

logger = logging.getLogger(__name__)

_REFUTABLE_CLAIMS = (record_module.Claim.SUSPECT, record_module.Claim.DEAD)

# Called with the former and the new self.
IncarnationHook = Callable[[member.Member, member.Member], None]


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
        me: member.Member,
        pauses: pauses_module.PauseDetector,
        min_death_s: float,
        wall_ms: Callable[[], int],
    ) -> None:
        """Makes the record of a host that starts.

        Args:
            me: This host.
            pauses: Tells whether this process did not run for a while.
            death_s: No shorter silence makes peers declare a host dead.
            wall_ms: Returns the wall clock, milliseconds.
        """
        self.record = record_module.Record.from_member(me)
        self.is_synchronized = False
        self._pauses = pauses
        self._min_death_s = min_death_s
        self._wall_ms = wall_ms
        self._hooks: list[IncarnationHook] = []

    def add_hook(self, hook: IncarnationHook) -> None:
        """Has a function called at each new incarnation."""
        self._hooks.append(hook)

    def set_claim(self, claim: record_module.Claim) -> None:
        """Says something new of this host, on a new version."""
        self.record = msgspec.structs.replace(
            self.record, claim=claim, version=self.record.version + 1
        )

    def handle_record(self, record: record_module.Record) -> bool:
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
        if record.precedence <= self.record.precedence:
            return False
        if record.incarnation > self.record.incarnation:
            self._resolve_name_conflict(record)
        elif record.claim in _REFUTABLE_CLAIMS and self._was_paused_too_long():
            logger.warning("Peers gave this host up while it was paused.")
            self.start_incarnation(record.incarnation)
        else:
            self.record = msgspec.structs.replace(
                self.record, version=record.version + 1
            )
        return True

    def start_incarnation(self, known_incarnation: ids.Incarnation) -> None:
        """Becomes a new incarnation, above an earlier one of this name."""
        former = self.record
        incarnation = max(
            self._wall_ms(), known_incarnation + 1, former.incarnation + 1
        )
        self.record = msgspec.structs.replace(
            former, incarnation=ids.Incarnation(incarnation), version=0
        )
        self._pauses.clear()
        logger.info("New incarnation %d of this host.", incarnation)
        before = former.to_member(record_module.STATES[former.claim])
        after = self.record.to_member(record_module.STATES[former.claim])
        for hook in self._hooks:
            hook(before, after)

    def _was_paused_too_long(self) -> bool:
        return self._pauses.longest_pause_s >= self._min_death_s

    def _resolve_name_conflict(self, record: record_module.Record) -> None:
        """Tells a former process of this name from one that replaced this.

        A former one is met while this host starts, holds the same port, or
        is dead: its clock ran ahead, and this host goes above it. Otherwise
        this host was replaced while it was paused or cut off. It gives way:
        two hosts that outbid each other would move each role for ever.
        """
        same_port = record.heartbeat_address == self.record.heartbeat_address
        dead = record.claim is record_module.Claim.DEAD
        if self.is_synchronized and not same_port and not dead:
            address, port = record.heartbeat_address
            raise NameTakenError(
                f"another process has the name {record.host}",
                step="keep membership",
                peer=f"{address}:{port}",
            )
        self.start_incarnation(record.incarnation)
