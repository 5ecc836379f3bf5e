"""Applies the handovers that this host receives from former keepers."""

from __future__ import annotations

import logging

import trio

from persimmonhinge import ids
from persimmonhinge.metrics import counts as counts_module
from persimmonhinge.peers import network
from persimmonhinge.peers.messages import handover
from persimmonhinge.peers.messages import work
from persimmonhinge.upstreams import executed_row
from persimmonhinge.upstreams import executed_table
from persimmonhinge.upstreams import former_keepers as former_keepers_module
from persimmonhinge.upstreams import roles as roles_module
from persimmonhinge.upstreams import upstreams as upstreams_module

logger = logging.getLogger(__name__)

_State = executed_row.RowState


class HandoverReceiver:
    """Applies each `KeeperHandover`."""

    def __init__(
        self,
        roles: roles_module.Roles,
        upstreams: upstreams_module.KeptUpstreams,
        executed: executed_table.ExecutedTable,
        former_keepers: former_keepers_module.FormerKeepers,
        counts: counts_module.Counts,
    ) -> None:
        self._roles = roles
        self._upstreams = upstreams
        self._executed = executed
        self._former_keepers = former_keepers
        self._counts = counts

    async def handle(
        self, caller: network.Caller, part: handover.KeeperHandover
    ) -> handover.HandoverTaken:
        """Applies one part of a handover."""
        for home in part.homes:
            self._executed.uptimes.record_uptime(home.home, home.uptime_ms)
        for row in part.executed:
            self._store_row(part.former, row)
        for key, count in zip(part.upstreams, part.busy, strict=False):
            self._apply_busy_count(part.former, key, count)
        if part.final:
            self._former_keepers.mark_complete(part.former)
            logger.info(
                "Received the last part of a former keeper's table from %s.",
                caller.host,
            )
        await trio.lowlevel.checkpoint()
        return handover.HandoverTaken()

    def _store_row(
        self, former: ids.HostRef, handover_row: handover.Executed
    ) -> None:
        state = _State.ENDED
        if handover_row.outcome is work.Outcome.NOT_RUN:
            state = _State.FENCED
        uptime_ms = max(
            0, self._executed.uptimes.get_lower_bound_ms(handover_row.home)
        )
        row = executed_row.ExecutedRow(
            executed_row.ExecutedKey(
                handover_row.ticket, handover_row.token, handover_row.digest
            ),
            handover_row.home,
            uptime_ms + handover_row.expires_in_ms,
            state,
        )
        row.outcome = work.Dispatched(handover_row.outcome, handover_row.answer)
        if not self._executed.add_handed_over_row(row):
            # Guards against a table with a missing row, which would lead to
            # the answer "not run" for a request that the former keeper ran.
            self._former_keepers.mark_incomplete(former)
            self._counts.add("keeper_handover_rows_lost_total")

    def _apply_busy_count(
        self, former: ids.HostRef, key: ids.UpstreamId, count: int
    ) -> None:
        target = self._roles.find_target_by_key(key)
        if target is None:
            return
        expires_at = trio.current_time() + target.limits.upstream_timeout_s
        kept = self._upstreams.get_or_create(target)
        kept.slots.set_former_keeper_requests(former, count, expires_at)
