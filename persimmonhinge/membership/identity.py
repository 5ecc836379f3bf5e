"""This host's own record, with refutation, leaving and new incarnations."""

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

# Called with the member of the previous and of the new incarnation.
IncarnationHook = Callable[[member.Member, member.Member], None]


class NameTakenError(errors.PeerError):
    """Another process was started later with the name of this host."""


class Identity:
    """The record of this host and the rules for changing it.

    Attributes:
        record: The record of this host, sent in each datagram.
        is_synchronized: True once the state of this host has been equal to
            that of some peer. This host has then received the record of any
            former process with its name, and a later record of a higher
            incarnation comes from another process.
    """

    def __init__(
        self,
        me: member.Member,
        pauses: pauses_module.PauseDetector,
        min_detection_s: float,
        wall_ms: Callable[[], int],
    ) -> None:
        """Creates the record of a host that starts.

        Args:
            me: This host.
            pauses: Detects pauses of this process.
            min_detection_s: Shortest time after which peers declare a host
                dead that does not answer, seconds.
            wall_ms: Returns the wall clock, milliseconds.
        """
        self.record = record_module.Record.from_member(me)
        self.is_synchronized = False
        self._pauses = pauses
        self._min_detection_s = min_detection_s
        self._wall_ms = wall_ms
        self._hooks: list[IncarnationHook] = []

    def add_hook(self, hook: IncarnationHook) -> None:
        """Registers a function that is called at each new incarnation."""
        self._hooks.append(hook)

    def set_claim(self, claim: record_module.Claim) -> None:
        """Sets the claim on this host and increments the record version."""
        self.record = msgspec.structs.replace(
            self.record, claim=claim, version=self.record.version + 1
        )

    def handle_record(self, record: record_module.Record) -> bool:
        """Handles a record of this host received from a peer.

        This host refutes a suspicion or death with a higher version. A host
        that was paused long enough to be declared dead starts a new
        incarnation instead, because its roles have been reassigned and work
        that it had started may have been declared lost. A suspicion is then
        enough: the first datagrams it reads were sent before peers declared
        it dead, and a refutation would revert the death before this host
        learned of it. A host that was only partitioned kept running and
        knows its own work; it keeps its incarnation, so that tickets that
        name the incarnation remain valid.

        Returns:
            True if the record of this host changed.

        Raises:
            NameTakenError: Another process started later under this name.
        """
        if record.precedence <= self.record.precedence:
            return False
        if record.incarnation > self.record.incarnation:
            self._resolve_name_conflict(record)
        elif record.claim in _REFUTABLE_CLAIMS and self._was_paused_too_long():
            logger.warning("Peers suspected this host while it was paused.")
            self.start_incarnation(record.incarnation)
        else:
            self.record = msgspec.structs.replace(
                self.record, version=record.version + 1
            )
        return True

    def start_incarnation(self, known_incarnation: ids.Incarnation) -> None:
        """Starts a new incarnation, higher than a known one of this name."""
        former = self.record
        incarnation = max(
            self._wall_ms(), known_incarnation + 1, former.incarnation + 1
        )
        self.record = msgspec.structs.replace(
            former, incarnation=ids.Incarnation(incarnation), version=0
        )
        self._pauses.clear()
        logger.info("This host started incarnation %d.", incarnation)
        former_member = former.to_member(
            record_module.STATES_BY_CLAIM[former.claim]
        )
        new_member = self.record.to_member(
            record_module.STATES_BY_CLAIM[former.claim]
        )
        for hook in self._hooks:
            hook(former_member, new_member)

    def _was_paused_too_long(self) -> bool:
        return self._pauses.longest_pause_s >= self._min_detection_s

    def _resolve_name_conflict(self, record: record_module.Record) -> None:
        """Handles a higher incarnation that has the name of this host.

        The other process is a former one if this host is not yet
        synchronized, or if the record has the same address and port or is
        dead. Its clock was ahead, and this host starts a higher incarnation.
        Otherwise, this host was replaced while it was paused or partitioned,
        and stops with an error: if both processes kept raising their
        incarnations, each role would move back and forth forever.
        """
        same_port = record.heartbeat_address == self.record.heartbeat_address
        dead = record.claim is record_module.Claim.DEAD
        if self.is_synchronized and not same_port and not dead:
            address, port = record.heartbeat_address
            raise NameTakenError(
                f"another process was started with the host name {record.host}",
                step="keep membership",
                peer=f"{address}:{port}",
            )
        self.start_incarnation(record.incarnation)
