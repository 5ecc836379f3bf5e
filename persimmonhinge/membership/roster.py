"""Takes in what is heard of hosts and shows it in the view."""

from __future__ import annotations

from collections.abc import Callable
import logging
import random

import msgspec

from persimmonhinge import ids
from persimmonhinge.membership import gossip as gossip_module
from persimmonhinge.membership import identity as identity_module
from persimmonhinge.membership import member as member_module
from persimmonhinge.membership import record as record_module
from persimmonhinge.membership import table as table_module
from persimmonhinge.membership import view as view_module
from persimmonhinge.metrics import counts as counts_module

logger = logging.getLogger(__name__)

_Claim = record_module.Claim

# Called at each news of a host, and told whether it was unknown or dead
# before and lives now.
UpdateListener = Callable[[ids.HostId, bool], None]


class Roster:
    """The one place where records turn into members.

    A death that is only hearsay is recorded and passed on at once, but shown
    as a suspicion until this host has tried to reach the member itself.
    This guards against flapping at the end of a cut: the other side has
    declared all hosts of this side dead and says so, and they would drop
    each other until each has refuted it. The try tells the member of the
    claim, and its answer brings the refutation.

    Attributes:
        identity: What this host says of itself.
        table: The records.
        gossip: News to pass on.
    """

    def __init__(
        self,
        view: view_module.View,
        identity: identity_module.Identity,
        table: table_module.Table,
        gossip: gossip_module.Gossip,
        counts: counts_module.Counts,
    ) -> None:
        """Makes a roster with this host alone.

        Args:
            view: Where members are shown.
            identity: What this host says of itself.
            table: An empty table.
            gossip: News to pass on.
            counts: Counters of this host.
        """
        self.identity = identity
        self.table = table
        self.gossip = gossip
        self._view = view
        self._counts = counts
        self._listeners: list[UpdateListener] = []
        self._unconfirmed_deaths: dict[ids.HostId, tuple[int, int]] = {}
        self.publish_own_record()

    def add_listener(self, listener: UpdateListener) -> None:
        """Has a function called at each news of another host."""
        self._listeners.append(listener)

    def publish_own_record(self) -> None:
        """Shows this host as its own record says."""
        record = self.identity.record
        self.table.merge_record(record)
        self._view.put(record.to_member(record_module.STATES[record.claim]))

    def get(self, host: ids.HostId) -> record_module.Record | None:
        """Returns the record of a host, None if it is unknown."""
        return self.table.get(host)

    def live_members(self) -> list[member_module.Member]:
        """Returns all members but this host that are not dead."""
        me = self._view.me
        return [m for m in self._view.all() if m.is_alive and m.host != me]

    def is_alive(self, host: ids.HostId) -> bool:
        """Tells whether a host is a member that is not dead."""
        member = self._view.get(host)
        return member is not None and member.is_alive

    def dead_members(self) -> list[member_module.Member]:
        """Returns the dead members that are remembered."""
        return [m for m in self._view.all() if not m.is_alive]

    def sample_members(
        self, count: int, randomness: random.Random
    ) -> list[member_module.Member]:
        """Returns some members but this host that are not dead."""
        live = self.live_members()
        return randomness.sample(live, min(count, len(live)))

    def apply_record(
        self, record: record_module.Record, *, sent_by_subject: bool = False
    ) -> bool:
        """Takes in a record.

        Args:
            record: The record.
            first_hand: True if the host that it is about sent it.

        Returns:
            True if it brought a host that was unknown or dead.

        Raises:
            NameTakenError: See `Identity.hear`.
        """
        if record.host == self._view.me:
            self._apply_own_record(record)
            return False
        known = self.table.get(record.host)
        if not self.table.merge_record(record):
            return False
        self.gossip.add(record.host)
        self._record_unconfirmed_death(record, sent_by_subject=sent_by_subject)
        self._publish_member(record)
        appeared = record.claim is not _Claim.DEAD and (
            known is None or known.claim is _Claim.DEAD
        )
        for listener in self._listeners:
            listener(record.host, appeared)
        return appeared

    def is_suspected(self, host: ids.HostId) -> bool:
        """Tells whether a host is to be tried before it is given up."""
        record = self.table.get(host)
        if record is None:
            return False
        return (
            record.claim is _Claim.SUSPECT or host in self._unconfirmed_deaths
        )

    def suspect(self, host: ids.HostId, full_version: tuple[int, int]) -> None:
        """Claims that a host does not answer, unless it refuted meanwhile."""
        record = self.table.get(host)
        if record is None or record.full_version != full_version:
            return
        if record.claim is _Claim.ALIVE:
            self._counts.add("membership_suspicions_total")
            logger.info("Host %s does not answer; suspected.", host)
            self.apply_record(
                msgspec.structs.replace(record, claim=_Claim.SUSPECT)
            )

    def declare_dead(
        self, host: ids.HostId, full_version: tuple[int, int]
    ) -> None:
        """Claims that a host is dead, unless it refuted meanwhile."""
        record = self.table.get(host)
        if (
            record is None
            or record.full_version != full_version
            or not self.is_alive(host)
        ):
            return
        self._counts.add("membership_deaths_total")
        logger.warning("Host %s is dead.", host)
        dead = msgspec.structs.replace(record, claim=_Claim.DEAD)
        if self.table.merge_record(dead):
            self.gossip.add(host)
        self._unconfirmed_deaths.pop(host, None)
        self._publish_member(dead)

    def forget_dead_members(self) -> None:
        """Forgets the hosts that died long ago."""
        for host in self.table.find_expired():
            logger.info("Host %s, dead for long, is forgotten.", host)
            self._remove_host(host)

    def reset_membership(self) -> None:
        """Forgets all other hosts and becomes a new incarnation."""
        self.identity.start_incarnation(self.identity.record.incarnation)
        self.publish_own_record()
        for member in tuple(self._view.all()):
            if member.host != self._view.me:
                self._remove_host(member.host)

    def announce_claim(self, claim: record_module.Claim) -> None:
        """Says something new of this host."""
        self.identity.set_claim(claim)
        self.publish_own_record()

    def _remove_host(self, host: ids.HostId) -> None:
        self.table.remove(host)
        self._unconfirmed_deaths.pop(host, None)
        self._view.remove(host)

    def _apply_own_record(self, record: record_module.Record) -> None:
        if not self.identity.handle_record(record):
            return
        self._counts.add("membership_refutations_total")
        self.publish_own_record()

    def _record_unconfirmed_death(
        self, record: record_module.Record, *, sent_by_subject: bool
    ) -> None:
        self._unconfirmed_deaths.pop(record.host, None)
        shown = self._view.get(record.host)
        answers = shown is not None and shown.is_alive
        if record.claim is _Claim.DEAD and answers and not sent_by_subject:
            self._unconfirmed_deaths[record.host] = record.full_version

    def _publish_member(self, record: record_module.Record) -> None:
        state = record_module.STATES[record.claim]
        if record.host in self._unconfirmed_deaths:
            state = self._find_unconfirmed_state(record.host)
        self._view.put(record.to_member(state))

    def _find_unconfirmed_state(
        self, host: ids.HostId
    ) -> member_module.MemberState:
        shown = self._view.get(host)
        if (
            shown is not None
            and shown.state is member_module.MemberState.LEAVING
        ):
            return member_module.MemberState.LEAVING
        return member_module.MemberState.SUSPECT
