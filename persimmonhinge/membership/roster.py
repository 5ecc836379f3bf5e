"""Applies received records and updates the view of members."""

from __future__ import annotations

from collections.abc import Callable
import logging
import random

import msgspec
import trio

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

# Called at each update of a host's record, with True if the host was unknown
# or dead before and is alive now.
UpdateListener = Callable[[ids.HostId, bool], None]


class Roster:
    """The single place where received records become members of the view.

    A death reported by another host is stored and gossiped at once, but
    appears in the view as a suspicion until this host has probed the member.
    This prevents flapping when a partition ends: the other side has declared
    all hosts of this side dead and reports this, and hosts of this side would
    remove each other until each has refuted the claim about itself. The probe
    carries the claim to the member, and its answer carries the refutation.

    Attributes:
        identity: The record of this host.
        table: The records of all hosts.
        gossip: Queue of updated records to send.
    """

    def __init__(
        self,
        view: view_module.View,
        identity: identity_module.Identity,
        table: table_module.Table,
        gossip: gossip_module.Gossip,
        counts: counts_module.Counts,
    ) -> None:
        """Creates a roster that contains only this host.

        Args:
            view: View that the roster updates.
            identity: The record of this host.
            table: An empty table.
            gossip: Queue of updated records to send.
            counts: Counters of this host.
        """
        self.identity = identity
        self.table = table
        self.gossip = gossip
        self._view = view
        self._counts = counts
        self._listeners: list[UpdateListener] = []
        self._unconfirmed_deaths: dict[ids.HostId, tuple[int, int]] = {}
        self._refuted = trio.Event()
        self.publish_own_record()

    def add_listener(self, listener: UpdateListener) -> None:
        """Registers a function that is called at each update of a host."""
        self._listeners.append(listener)

    async def wait_until_refuted(self) -> None:
        """Returns once this host has refuted a claim since the last call."""
        await self._refuted.wait()
        self._refuted = trio.Event()

    def publish_own_record(self) -> None:
        """Updates the table and the view from the record of this host."""
        record = self.identity.record
        self.table.merge_record(record)
        self._view.put(
            record.to_member(record_module.STATES_BY_CLAIM[record.claim])
        )

    def get(self, host: ids.HostId) -> record_module.Record | None:
        """Returns the record of a host; None if it is unknown."""
        return self.table.get(host)

    def live_members(self) -> list[member_module.Member]:
        """Returns all members that are alive, except this host."""
        me = self._view.me
        return [m for m in self._view.all() if m.is_alive and m.host != me]

    def is_alive(self, host: ids.HostId) -> bool:
        """Returns whether a host is a member that is not dead."""
        member = self._view.get(host)
        return member is not None and member.is_alive

    def dead_members(self) -> list[member_module.Member]:
        """Returns the dead members that have not yet been forgotten."""
        return [m for m in self._view.all() if not m.is_alive]

    def sample_members(
        self, count: int, randomness: random.Random
    ) -> list[member_module.Member]:
        """Returns a sample of the live members, without this host.

        Args:
            count: Maximum size of the sample.
            randomness: Source of random choices.
        """
        live = self.live_members()
        return randomness.sample(live, min(count, len(live)))

    def apply_record(
        self, record: record_module.Record, *, sent_by_subject: bool = False
    ) -> bool:
        """Applies a received record.

        Args:
            record: The record.
            sent_by_subject: True if the host that the record describes sent
                it.

        Returns:
            True if the host is alive and was unknown or dead before.

        Raises:
            NameTakenError: See `Identity.handle_record`.
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
        """Returns whether a host must be probed before it is declared dead."""
        record = self.table.get(host)
        if record is None:
            return False
        return (
            record.claim is _Claim.SUSPECT or host in self._unconfirmed_deaths
        )

    def suspect(self, host: ids.HostId, full_version: tuple[int, int]) -> None:
        """Suspects a host unless its record changed since the given version."""
        record = self.table.get(host)
        if record is None or record.full_version != full_version:
            return
        if record.claim is _Claim.ALIVE:
            self._counts.add("membership_suspicions_total")
            logger.info("Host %s does not answer probes; suspecting it.", host)
            self.apply_record(
                msgspec.structs.replace(record, claim=_Claim.SUSPECT)
            )

    def declare_dead(
        self, host: ids.HostId, full_version: tuple[int, int]
    ) -> None:
        """Declares a host dead unless its record has a newer version."""
        record = self.table.get(host)
        if (
            record is None
            or record.full_version != full_version
            or not self.is_alive(host)
        ):
            return
        self._counts.add("membership_deaths_total")
        logger.warning(
            "Host %s did not answer the final probe; declaring it dead.", host
        )
        dead = msgspec.structs.replace(record, claim=_Claim.DEAD)
        if self.table.merge_record(dead):
            self.gossip.add(host)
        self._unconfirmed_deaths.pop(host, None)
        self._publish_member(dead)

    def forget_dead_members(self) -> None:
        """Removes hosts that have been dead for the retention time."""
        for host in self.table.find_expired():
            logger.info("Removing dead host %s after the retention time.", host)
            self._remove_host(host)

    def reset_membership(self) -> None:
        """Removes all other hosts and starts a new incarnation."""
        self.identity.start_incarnation(self.identity.record.incarnation)
        self.publish_own_record()
        for member in tuple(self._view.all()):
            if member.host != self._view.me:
                self._remove_host(member.host)

    def set_own_claim(self, claim: record_module.Claim) -> None:
        """Sets the claim on this host and updates the view."""
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
        self._refuted.set()

    def _record_unconfirmed_death(
        self, record: record_module.Record, *, sent_by_subject: bool
    ) -> None:
        self._unconfirmed_deaths.pop(record.host, None)
        member = self._view.get(record.host)
        was_alive = member is not None and member.is_alive
        if record.claim is _Claim.DEAD and was_alive and not sent_by_subject:
            self._unconfirmed_deaths[record.host] = record.full_version

    def _publish_member(self, record: record_module.Record) -> None:
        state = record_module.STATES_BY_CLAIM[record.claim]
        if record.host in self._unconfirmed_deaths:
            state = self._find_unconfirmed_state(record.host)
        self._view.put(record.to_member(state))

    def _find_unconfirmed_state(
        self, host: ids.HostId
    ) -> member_module.MemberState:
        member = self._view.get(host)
        if (
            member is not None
            and member.state is member_module.MemberState.LEAVING
        ):
            return member_module.MemberState.LEAVING
        return member_module.MemberState.SUSPECT
