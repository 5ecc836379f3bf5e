"""Takes over what a former keeper hands on."""

from __future__ import annotations

import logging

import trio

from persimmonhinge import ids
from persimmonhinge.metrics import counts as host_counts
from persimmonhinge.peers import network as networks
from persimmonhinge.peers.messages import handover as messages
from persimmonhinge.peers.messages import work
from persimmonhinge.upstreams import executed as executed_tables
from persimmonhinge.upstreams import executed_entry as entries
from persimmonhinge.upstreams import inheritance as inheritances
from persimmonhinge.upstreams import roles as role_parts
from persimmonhinge.upstreams import upstreams as upstream_sets

logger = logging.getLogger(__name__)

_State = entries.EntryState


class Taking:
    """Serves each `KeeperHandover`."""

    def __init__(
        self,
        roles: role_parts.Roles,
        upstreams: upstream_sets.KeptUpstreams,
        executed: executed_tables.ExecutedTable,
        inheritance: inheritances.Inheritance,
        counts: host_counts.Counts,
    ) -> None:
        self._roles = roles
        self._upstreams = upstreams
        self._executed = executed
        self._inheritance = inheritance
        self._counts = counts

    async def handle(
        self, caller: networks.Caller, part: messages.KeeperHandover
    ) -> messages.HandoverTaken:
        """Takes one part in."""
        for home in part.homes:
            self._executed.uptimes.note(home.home, home.uptime_ms)
        for row in part.executed:
            self._take_row(part.former, row)
        for key, count in zip(part.upstreams, part.busy, strict=False):
            self._take_busy(part.former, key, count)
        if part.final:
            self._inheritance.complete(part.former)
            logger.info("Took over from %s.", caller.host)
        await trio.lowlevel.checkpoint()
        return messages.HandoverTaken()

    def _take_row(self, former: ids.HostRef, row: messages.Executed) -> None:
        state = _State.ENDED
        if row.outcome is work.Outcome.NOT_RUN:
            state = _State.FENCED
        uptime_ms = max(0, self._executed.uptimes.read(row.home))
        entry = entries.ExecutedEntry(
            entries.ExecutedKey(row.ticket, row.token, row.digest),
            row.home,
            uptime_ms + row.expires_in_ms,
            state,
        )
        entry.outcome = work.Dispatched(row.outcome, row.answer)
        if not self._executed.take(entry):
            # Guards against a table with a hole in it, which would answer
            # "not run" for a request that the former keeper ran.
            self._inheritance.spoil(former)
            self._counts.add("keeper_handover_rows_lost_total")

    def _take_busy(
        self, former: ids.HostRef, key: ids.UpstreamId, count: int
    ) -> None:
        target = self._roles.find_named(key)
        if target is None:
            return
        expires_at = trio.current_time() + target.limits.upstream_timeout_s
        kept = self._upstreams.get(target)
        kept.slots.set_former_keeper_requests(former, count, expires_at)
