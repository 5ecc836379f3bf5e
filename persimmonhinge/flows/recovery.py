"""Asks keepers what became of requests whose outcome is not known."""

from __future__ import annotations

import logging

import trio

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.flows import row as rows
from persimmonhinge.flows import tickets
from persimmonhinge.membership import view as views
from persimmonhinge.metrics import counts as host_counts
from persimmonhinge.peers import network as networks
from persimmonhinge.peers.messages import work

logger = logging.getLogger(__name__)

ASK_TIMEOUT_S = 1.0
_ATTEMPTS = 2
_PAUSE_S = 0.2


class Recovery:
    """Asks the keepers that a ticket names.

    Only they can have run its work, so they can tell together: one has the
    answer, or all promise that it did not run and never will.
    """

    def __init__(
        self,
        view: views.View,
        network: networks.PeerNetwork,
        counts: host_counts.Counts,
    ) -> None:
        self._view = view
        self._network = network
        self._counts = counts

    async def ask_all(
        self, service: ids.ServiceName, ticket: tickets.Ticket, key: rows.RowKey
    ) -> work.Dispatched:
        """Returns what the keepers of a ticket know of a request.

        Returns:
            ANSWERED with the kept answer; NOT_RUN if all keepers say and
            promise so; UNKNOWN otherwise.
        """
        found: list[work.Dispatched] = []

        async def ask(keeper: ids.HostRef) -> None:
            found.append(await self.ask_keeper(service, ticket, key, keeper))

        async with trio.open_nursery() as nursery:
            for keeper in ticket.keepers:
                nursery.start_soon(ask, keeper)
        result = _conclude(found)
        self._counts.add("home_recoveries_total", outcome=result.outcome.value)
        return result

    async def ask_keeper(
        self,
        service: ids.ServiceName,
        ticket: tickets.Ticket,
        key: rows.RowKey,
        keeper: ids.HostRef,
    ) -> work.Dispatched:
        """Returns what one keeper knows of a request; UNKNOWN if it is gone."""
        message = work.Recover(
            service,
            key.ticket,
            key.token,
            key.digest,
            key.home,
            ticket.expiry_ms,
            keeper,
        )
        for attempt in range(_ATTEMPTS):
            if attempt:
                await trio.sleep(_PAUSE_S)
            member = self._view.find_ref(keeper)
            if member is None:
                return _unknown("keeper is gone")
            try:
                answer = await self._network.call(
                    member.host, message, ASK_TIMEOUT_S
                )
            except errors.PeerError:
                continue
            if isinstance(answer, work.Dispatched):
                return _check(answer)
        return _unknown("keeper does not answer")


def _conclude(found: list[work.Dispatched]) -> work.Dispatched:
    for dispatched in found:
        if dispatched.outcome is work.Outcome.ANSWERED:
            return dispatched
    not_run = work.Outcome.NOT_RUN
    if found and all(d.outcome is not_run for d in found):
        return work.Dispatched(not_run, reason="home died before it ran")
    return _unknown("its home died")


def _check(answer: work.Dispatched) -> work.Dispatched:
    """Takes NOT_KEEPER, from a later incarnation of the host, as unknown."""
    if answer.outcome in (work.Outcome.ANSWERED, work.Outcome.NOT_RUN):
        return answer
    return _unknown(answer.reason or "keeper does not know")


def _unknown(reason: str) -> work.Dispatched:
    return work.Dispatched(work.Outcome.UNKNOWN, reason=reason)
