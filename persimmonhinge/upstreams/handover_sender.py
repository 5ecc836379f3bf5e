"""Sends a keeper's state to the hosts that take over its upstreams."""

from __future__ import annotations

from collections.abc import Iterator
import logging

import trio

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.membership import view as view_module
from persimmonhinge.peers import network as network_module
from persimmonhinge.peers.messages import handover
from persimmonhinge.peers.messages import work
from persimmonhinge.upstreams import executed_row
from persimmonhinge.upstreams import executed_table
from persimmonhinge.upstreams import former_keepers as former_keepers_module
from persimmonhinge.upstreams import kept_upstream
from persimmonhinge.upstreams import roles as roles_module
from persimmonhinge.upstreams import upstreams as upstreams_module

logger = logging.getLogger(__name__)

_POLL_INTERVAL_S = 0.05
_CALL_TIMEOUT_S = 2.0
# Maximum duration of the attempts to reach a live successor, and the pause
# between two attempts. A failed link is dialed again after 0.2 s at first.
_MAX_RETRY_DURATION_S = 3.0
_RETRY_INTERVAL_S = 0.1
_MAX_PART_ROWS = 200
_MAX_PART_OCTETS = 262_144


class HandoverSender:
    """Sends counts of running requests and the executed table to successors."""

    def __init__(
        self,
        view: view_module.View,
        roles: roles_module.Roles,
        upstreams: upstreams_module.KeptUpstreams,
        executed: executed_table.ExecutedTable,
        former_keepers: former_keepers_module.FormerKeepers,
        network: network_module.PeerNetwork,
    ) -> None:
        self._view = view
        self._roles = roles
        self._upstreams = upstreams
        self._executed = executed
        self._former_keepers = former_keepers
        self._network = network
        self._reporting: set[kept_upstream.KeptUpstream] = set()

    def start_reports(self, nursery: trio.Nursery) -> None:
        """Starts reports on running requests of upstreams with a new keeper.

        Args:
            nursery: Runs the reports.
        """
        for kept in self._upstreams.list_all():
            if kept in self._reporting or not kept.slots.running:
                continue
            if self._find_successor(kept) is not None:
                self._reporting.add(kept)
                nursery.start_soon(self._report_running, kept)

    async def hand_over(self) -> None:
        """Hands over the table of executed requests to all successors.

        Sends the rows that exist, waits for the running requests, and sends
        their rows as well. Each successor receives the whole table, so that
        any of them can answer for this host after it has stopped. Returns
        after all feeds are closed.
        """
        self._upstreams.refresh()
        successors = self._list_successors()
        sent: set[executed_row.ExecutedRow] = set()
        await self._send_rows(successors, sent)
        while any(k.slots.running for k in self._upstreams.list_all()):
            await trio.sleep(_POLL_INTERVAL_S)
        await self._send_rows(successors, sent)
        for former in self._former_keepers.list_complete():
            await self._send_final_part(successors, former)
        await self._send_final_part(successors, self._view.self_member.ref)
        while any(kept.open_feeds for kept in self._upstreams.list_all()):
            await trio.sleep(_POLL_INTERVAL_S)

    async def _report_running(self, kept: kept_upstream.KeptUpstream) -> None:
        """Reports an upstream's running requests to its new keeper.

        Sends each change of their number, until no request runs any more.
        """
        reported_busy = -1
        try:
            while reported_busy != 0:
                successor = self._find_successor(kept)
                if successor is None:
                    return
                busy = len(kept.slots.running)
                if busy != reported_busy:
                    part = self._make_part(
                        upstreams=(kept.target.key,), busy=(busy,)
                    )
                    await self._send_part(successor, part)
                    reported_busy = busy
                await trio.sleep(_POLL_INTERVAL_S)
        finally:
            self._reporting.discard(kept)

    def _find_successor(
        self, kept: kept_upstream.KeptUpstream
    ) -> ids.HostId | None:
        keeper = self._roles.find_keeper(kept.target)
        if keeper is None or keeper.host == self._view.me:
            return None
        return keeper.host

    def _list_successors(self) -> list[ids.HostId]:
        """Returns the hosts that are now the keepers in this host's domain."""
        me = self._view.self_member
        found = {
            keeper.host
            for target in self._roles.list_targets()
            if target.upstream.domain == me.domain
            and (keeper := self._roles.find_keeper(target)) is not None
            and keeper.host != me.host
        }
        return sorted(found)

    async def _send_rows(
        self,
        successors: list[ids.HostId],
        sent: set[executed_row.ExecutedRow],
    ) -> None:
        unsent = [r for r in self._executed.list_final_rows() if r not in sent]
        sent.update(unsent)
        homes = self._list_home_uptimes()
        for rows in _split_rows(
            [self._make_handover_row(row) for row in unsent]
        ):
            part = self._make_part(executed=rows, homes=homes)
            for successor in tuple(successors):
                if not await self._send_part(successor, part):
                    # The successor lacks rows, so it must not receive the
                    # final part, which would mark its table as complete.
                    successors.remove(successor)

    async def _send_final_part(
        self, successors: list[ids.HostId], former: ids.HostRef
    ) -> None:
        part = self._make_part(
            former=former, final=True, homes=self._list_home_uptimes()
        )
        for successor in successors:
            await self._send_part(successor, part)

    def _make_handover_row(
        self, row: executed_row.ExecutedRow
    ) -> handover.Executed:
        outcome, answer = work.Outcome.NOT_RUN, b""
        if row.outcome is not None:
            outcome, answer = row.outcome.outcome, row.outcome.answer
        uptime_ms = max(0, self._executed.uptimes.get_lower_bound_ms(row.home))
        return handover.Executed(
            row.key.ticket,
            row.key.token,
            row.key.digest,
            row.home,
            max(0, row.expiry_ms - uptime_ms),
            outcome,
            answer,
        )

    def _list_home_uptimes(self) -> tuple[handover.HomeUptime, ...]:
        uptimes = self._executed.uptimes.get_all_lower_bounds_ms()
        return tuple(handover.HomeUptime(*item) for item in uptimes.items())

    def _make_part(
        self,
        former: ids.HostRef | None = None,
        upstreams: tuple[ids.UpstreamId, ...] = (),
        executed: tuple[handover.Executed, ...] = (),
        busy: tuple[int, ...] = (),
        final: bool = False,
        homes: tuple[handover.HomeUptime, ...] = (),
    ) -> handover.KeeperHandover:
        return handover.KeeperHandover(
            former or self._view.self_member.ref,
            upstreams,
            executed,
            busy,
            final,
            homes,
        )

    async def _send_part(
        self, host: ids.HostId, part: handover.KeeperHandover
    ) -> bool:
        """Sends a part to a successor; returns False if it is unreachable."""
        retry_until = trio.current_time() + _MAX_RETRY_DURATION_S
        while True:
            try:
                await self._network.call(host, part, _CALL_TIMEOUT_S)
                return True
            except errors.PeerError as error:
                logger.info("Sending a handover part failed: %s.", error)
            if trio.current_time() >= retry_until or not self._is_alive(host):
                return False
            await trio.sleep(_RETRY_INTERVAL_S)

    def _is_alive(self, host: ids.HostId) -> bool:
        member = self._view.get(host)
        return member is not None and member.is_alive


def _split_rows(
    rows: list[handover.Executed],
) -> Iterator[tuple[handover.Executed, ...]]:
    """Splits rows into parts small enough not to delay other messages.

    The other messages are those that the link to the successor carries.
    """
    part: list[handover.Executed] = []
    octets = 0
    for row in rows:
        part.append(row)
        octets += len(row.answer)
        if len(part) >= _MAX_PART_ROWS or octets >= _MAX_PART_OCTETS:
            yield tuple(part)
            part, octets = [], 0
    if part:
        yield tuple(part)
