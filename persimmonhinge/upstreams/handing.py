"""Hands over what this host keeps when its roles move."""

from __future__ import annotations

from collections.abc import Iterator
import logging

import trio

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.membership import view as views
from persimmonhinge.peers import network as networks
from persimmonhinge.peers.messages import handover as messages
from persimmonhinge.peers.messages import work
from persimmonhinge.upstreams import executed as executed_tables
from persimmonhinge.upstreams import executed_entry as entries
from persimmonhinge.upstreams import inheritance as inheritances
from persimmonhinge.upstreams import kept as kept_parts
from persimmonhinge.upstreams import roles as role_parts
from persimmonhinge.upstreams import upstreams as upstream_sets

logger = logging.getLogger(__name__)

_LOOK_INTERVAL_S = 0.05
_CALL_TIMEOUT_S = 2.0
# How long a successor that lives is tried, and the pause between two attempts,
# seconds: a link that broke is dialed again after 0.2 s at first.
_TRY_S = 3.0
_RETRY_S = 0.1
_ROWS_IN_PART = 200
_OCTETS_IN_PART = 262_144


class Handing:
    """Tells successors what runs at upstreams and what has run."""

    def __init__(
        self,
        view: views.View,
        roles: role_parts.Roles,
        upstreams: upstream_sets.KeptUpstreams,
        executed: executed_tables.ExecutedTable,
        inheritance: inheritances.Inheritance,
        network: networks.PeerNetwork,
    ) -> None:
        self._view = view
        self._roles = roles
        self._upstreams = upstreams
        self._executed = executed
        self._inheritance = inheritance
        self._network = network
        self._followed: set[kept_parts.KeptUpstream] = set()

    def follow_moved(self, nursery: trio.Nursery) -> None:
        """Begins to report on upstreams whose role has moved away."""
        for kept in self._upstreams.list_all():
            if kept in self._followed or not kept.slots.running:
                continue
            if self._find_successor(kept) is not None:
                self._followed.add(kept)
                nursery.start_soon(self._follow, kept)

    async def leave(self) -> None:
        """Hands the table over, waits for what runs, hands over the rest.

        The table goes to every successor, so that whichever is asked after
        this host has gone can answer for it.
        """
        self._upstreams.refresh()
        successors = self._list_successors()
        sent: set[entries.ExecutedEntry] = set()
        await self._hand_rows(successors, sent)
        while any(k.slots.running for k in self._upstreams.list_all()):
            await trio.sleep(_LOOK_INTERVAL_S)
        await self._hand_rows(successors, sent)
        for former in self._inheritance.list_all():
            await self._finish(successors, former)
        await self._finish(successors, self._view.self_member.ref)
        while any(kept.open_feeds for kept in self._upstreams.list_all()):
            await trio.sleep(_LOOK_INTERVAL_S)

    async def _follow(self, kept: kept_parts.KeptUpstream) -> None:
        """Tells the successor how many requests still run, until none do."""
        told = -1
        try:
            while told != 0:
                successor = self._find_successor(kept)
                if successor is None:
                    return
                busy = len(kept.slots.running)
                if busy != told:
                    part = self._make_part(
                        upstreams=(kept.target.key,), busy=(busy,)
                    )
                    await self._call(successor, part)
                    told = busy
                await trio.sleep(_LOOK_INTERVAL_S)
        finally:
            self._followed.discard(kept)

    def _find_successor(
        self, kept: kept_parts.KeptUpstream
    ) -> ids.HostId | None:
        keeper = self._roles.find_keeper(kept.target)
        if keeper is None or keeper.host == self._view.me:
            return None
        return keeper.host

    def _list_successors(self) -> list[ids.HostId]:
        """Returns the hosts that keep this host's upstreams from now on."""
        me = self._view.self_member
        found = {
            keeper.host
            for target in self._roles.list_targets()
            if target.upstream.domain == me.domain
            and (keeper := self._roles.find_keeper(target)) is not None
            and keeper.host != me.host
        }
        return sorted(found)

    async def _hand_rows(
        self,
        successors: list[ids.HostId],
        sent: set[entries.ExecutedEntry],
    ) -> None:
        fresh = [e for e in self._executed.list_lasting() if e not in sent]
        sent.update(fresh)
        homes = self._list_homes()
        for rows in _split([self._write_row(entry) for entry in fresh]):
            part = self._make_part(executed=rows, homes=homes)
            for successor in tuple(successors):
                if not await self._call(successor, part):
                    # It lacks rows, so it must not hear that it has all.
                    successors.remove(successor)

    async def _finish(
        self, successors: list[ids.HostId], former: ids.HostRef
    ) -> None:
        part = self._make_part(
            former=former, final=True, homes=self._list_homes()
        )
        for successor in successors:
            await self._call(successor, part)

    def _write_row(self, entry: entries.ExecutedEntry) -> messages.Executed:
        outcome, answer = work.Outcome.NOT_RUN, b""
        if entry.outcome is not None:
            outcome, answer = entry.outcome.outcome, entry.outcome.answer
        uptime_ms = max(0, self._executed.uptimes.read(entry.home))
        return messages.Executed(
            entry.key.ticket,
            entry.key.token,
            entry.key.digest,
            entry.home,
            max(0, entry.expiry_ms - uptime_ms),
            outcome,
            answer,
        )

    def _list_homes(self) -> tuple[messages.HomeUptime, ...]:
        uptimes = self._executed.uptimes.read_all()
        return tuple(messages.HomeUptime(*item) for item in uptimes.items())

    def _make_part(
        self,
        former: ids.HostRef | None = None,
        upstreams: tuple[ids.UpstreamId, ...] = (),
        executed: tuple[messages.Executed, ...] = (),
        busy: tuple[int, ...] = (),
        final: bool = False,
        homes: tuple[messages.HomeUptime, ...] = (),
    ) -> messages.KeeperHandover:
        return messages.KeeperHandover(
            former or self._view.self_member.ref,
            upstreams,
            executed,
            busy,
            final,
            homes,
        )

    async def _call(
        self, host: ids.HostId, part: messages.KeeperHandover
    ) -> bool:
        """Hands a part over; False if the successor could not be reached."""
        ends_at = trio.current_time() + _TRY_S
        while True:
            try:
                await self._network.call(host, part, _CALL_TIMEOUT_S)
                return True
            except errors.PeerError as error:
                logger.info("Hand-over failed: %s.", error)
            if trio.current_time() >= ends_at or not self._lives(host):
                return False
            await trio.sleep(_RETRY_S)

    def _lives(self, host: ids.HostId) -> bool:
        member = self._view.get(host)
        return member is not None and member.is_alive


def _split(
    rows: list[messages.Executed],
) -> Iterator[tuple[messages.Executed, ...]]:
    """Cuts rows into parts that a link carries without holding up others."""
    part: list[messages.Executed] = []
    octets = 0
    for row in rows:
        part.append(row)
        octets += len(row.answer)
        if len(part) >= _ROWS_IN_PART or octets >= _OCTETS_IN_PART:
            yield tuple(part)
            part, octets = [], 0
    if part:
        yield tuple(part)
