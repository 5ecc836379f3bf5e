"""Takes in what is heard of hosts and shows it in the view."""

from __future__ import annotations

from collections.abc import Callable
import logging
import random

import msgspec

from persimmonhinge import ids
from persimmonhinge.membership import gossip as gossips
from persimmonhinge.membership import identity as identities
from persimmonhinge.membership import member as members
from persimmonhinge.membership import record as records
from persimmonhinge.membership import table as tables
from persimmonhinge.membership import view as views
from persimmonhinge.metrics import counts as host_counts

logger = logging.getLogger(__name__)

_Claim = records.Claim

# Called at each news of a host, and told whether it was unknown or dead
# before and lives now.
NewsListener = Callable[[ids.HostId, bool], None]


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
        view: views.View,
        identity: identities.Identity,
        table: tables.Table,
        gossip: gossips.Gossip,
        counts: host_counts.Counts,
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
        self._listeners: list[NewsListener] = []
        self._hearsay: dict[ids.HostId, tuple[int, int]] = {}
        self.show_self()

    def add_listener(self, listener: NewsListener) -> None:
        """Has a function called at each news of another host."""
        self._listeners.append(listener)

    def show_self(self) -> None:
        """Shows this host as its own record says."""
        record = self.identity.record
        self.table.offer(record)
        self._view.put(record.to_member(records.STATES[record.claim]))

    def get(self, host: ids.HostId) -> records.Record | None:
        """Returns the record of a host, None if it is unknown."""
        return self.table.get(host)

    def live(self) -> list[members.Member]:
        """Returns all members but this host that are not dead."""
        me = self._view.me
        return [m for m in self._view.all() if m.answers and m.host != me]

    def lives(self, host: ids.HostId) -> bool:
        """Tells whether a host is a member that is not dead."""
        member = self._view.get(host)
        return member is not None and member.answers

    def dead(self) -> list[members.Member]:
        """Returns the dead members that are remembered."""
        return [m for m in self._view.all() if not m.answers]

    def pick(
        self, count: int, randomness: random.Random
    ) -> list[members.Member]:
        """Returns some members but this host that are not dead."""
        live = self.live()
        return randomness.sample(live, min(count, len(live)))

    def hear(self, record: records.Record, *, first_hand: bool = False) -> bool:
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
            self._hear_of_self(record)
            return False
        known = self.table.get(record.host)
        if not self.table.offer(record):
            return False
        self.gossip.add(record.host)
        self._note_hearsay(record, first_hand=first_hand)
        self._show(record)
        appeared = record.claim is not _Claim.DEAD and (
            known is None or known.claim is _Claim.DEAD
        )
        for listener in self._listeners:
            listener(record.host, appeared)
        return appeared

    def is_doubted(self, host: ids.HostId) -> bool:
        """Tells whether a host is to be tried before it is given up."""
        record = self.table.get(host)
        if record is None:
            return False
        return record.claim is _Claim.SUSPECT or host in self._hearsay

    def suspect(self, host: ids.HostId, life: tuple[int, int]) -> None:
        """Claims that a host does not answer, unless it refuted meanwhile."""
        record = self.table.get(host)
        if record is None or record.life != life:
            return
        if record.claim is _Claim.ALIVE:
            self._counts.add("membership_suspicions_total")
            logger.info("Host %s does not answer; suspected.", host)
            self.hear(msgspec.structs.replace(record, claim=_Claim.SUSPECT))

    def declare_dead(self, host: ids.HostId, life: tuple[int, int]) -> None:
        """Claims that a host is dead, unless it refuted meanwhile."""
        record = self.table.get(host)
        if record is None or record.life != life or not self.lives(host):
            return
        self._counts.add("membership_deaths_total")
        logger.warning("Host %s is dead.", host)
        dead = msgspec.structs.replace(record, claim=_Claim.DEAD)
        if self.table.offer(dead):
            self.gossip.add(host)
        self._hearsay.pop(host, None)
        self._show(dead)

    def forget(self) -> None:
        """Forgets the hosts that died long ago."""
        for host in self.table.find_forgotten():
            logger.info("Host %s, dead for long, is forgotten.", host)
            self._drop(host)

    def start_anew(self) -> None:
        """Forgets all other hosts and becomes a new incarnation."""
        self.identity.take_incarnation(self.identity.record.incarnation)
        self.show_self()
        for member in tuple(self._view.all()):
            if member.host != self._view.me:
                self._drop(member.host)

    def say(self, claim: records.Claim) -> None:
        """Says something new of this host."""
        self.identity.say(claim)
        self.show_self()

    def _drop(self, host: ids.HostId) -> None:
        self.table.remove(host)
        self._hearsay.pop(host, None)
        self._view.remove(host)

    def _hear_of_self(self, record: records.Record) -> None:
        if not self.identity.hear(record):
            return
        self._counts.add("membership_refutations_total")
        self.show_self()

    def _note_hearsay(
        self, record: records.Record, *, first_hand: bool
    ) -> None:
        self._hearsay.pop(record.host, None)
        shown = self._view.get(record.host)
        answers = shown is not None and shown.answers
        if record.claim is _Claim.DEAD and answers and not first_hand:
            self._hearsay[record.host] = record.life

    def _show(self, record: records.Record) -> None:
        state = records.STATES[record.claim]
        if record.host in self._hearsay:
            state = self._find_state_in_doubt(record.host)
        self._view.put(record.to_member(state))

    def _find_state_in_doubt(self, host: ids.HostId) -> members.MemberState:
        shown = self._view.get(host)
        if shown is not None and shown.state is members.MemberState.LEAVING:
            return members.MemberState.LEAVING
        return members.MemberState.SUSPECT
