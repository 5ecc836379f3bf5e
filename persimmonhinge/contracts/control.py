"""The control part of a host: follows contracts, ticket keys and drains."""

from __future__ import annotations

from collections.abc import Mapping
import logging
import random

import trio

from persimmonhinge import errors
from persimmonhinge.contracts import drains as drain_stores
from persimmonhinge.contracts import host_list as host_lists
from persimmonhinge.contracts import hosts
from persimmonhinge.contracts import partners as partner_choice
from persimmonhinge.contracts import records as record_sets
from persimmonhinge.contracts import report
from persimmonhinge.contracts import spread as spreads
from persimmonhinge.contracts import store as contract_stores
from persimmonhinge.contracts import watcher as watchers
from persimmonhinge.keys import store as key_stores
from persimmonhinge.membership import placement as placements
from persimmonhinge.membership import view as views
from persimmonhinge.metrics import counts as host_counts
from persimmonhinge.peers import network as networks
from persimmonhinge.peers.messages import control
from persimmonhinge.settings import entry
from persimmonhinge.store import port

logger = logging.getLogger(__name__)

# A host that starts waits so long for a peer before it turns to the platform.
_FIRST_EXCHANGE_S = 2.0
# A role of watcher that comes or goes counts after it has held for so long,
# seconds. The second watcher of a domain is one in reserve.
_GAIN_S = 0.5
_SECOND_GAIN_S = 5.0
_LOSS_S = 3.0


class Control:
    """Keeps the stores of a host up to date.

    Two hosts in each failure domain hold the watch at the platform. All
    others learn from peers, as do these when the platform is out.
    """

    def __init__(
        self,
        settings: entry.EntrySettings,
        view: views.View,
        placement: placements.Placement,
        contracts: contract_stores.ContractStore,
        keys: key_stores.KeyStore,
        drains: drain_stores.DrainStore,
        network: networks.PeerNetwork,
        platform: port.Platform,
        counts: host_counts.Counts,
        randomness: random.Random | None = None,
        host_list: host_lists.HostList | None = None,
    ) -> None:
        self._settings = settings
        self._view = view
        self._platform = platform
        self._counts = counts
        draws = randomness or random.Random()
        self._records = record_sets.Records(contracts, keys, drains, counts)
        self._partners = partner_choice.Partners(view, placement, draws)
        self._spread = spreads.Spread(
            self._records, self._partners, network, counts, draws
        )
        self._watcher = watchers.Watcher(
            settings.platform,
            platform,
            self._records,
            self._publish,
            self._spread.set_ready,
            counts,
            draws,
            host_list,
        )

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Follows the platform and the peers until it is cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._spread.run)
            nursery.start_soon(self._run_watcher)
            task_status.started()

    def ready(self) -> bool:
        """Tells whether this host has synchronized.

        True once it has read the platform, or has exchanged records with a
        host that is ready.
        """
        return self._spread.ready()

    def report(self) -> report.ControlReport:
        """Returns how this host stands, for the operators; no secrets."""
        return report.make_report(self._records, self._watcher, self.ready())

    async def announce_leaving(self) -> None:
        """Tells the platform's host list that this host leaves."""
        try:
            await hosts.announce_leaving(
                self._platform, self._settings.platform.prefix, self._view.me
            )
        except (errors.PlatformError, errors.ConflictError) as error:
            logger.warning("Host list does not show the stop: %s", error)

    def _publish(self, news: control.Knowledge) -> None:
        self._spread.publish(news, source="platform")

    async def _run_watcher(self) -> None:
        await self._wait_for_first_exchange()
        while True:
            await self._wait_for_watch()
            logger.info("Begins to watch the platform for its domain.")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._watcher.run)
                await self._wait_for_relief()
                nursery.cancel_scope.cancel()
            logger.info("Watches the platform no more; others do.")

    async def _wait_for_first_exchange(self) -> None:
        """Gives peers a little time to tell what they know.

        Guards against a host that knows nothing yet: it would believe to be
        alone and read the platform as all others that start with it, and
        would make new ticket keys at a platform that has lost its keys.
        """
        if not self._settings.seeds:
            return
        with trio.move_on_after(_FIRST_EXCHANGE_S):
            await self._spread.wait_exchanged()

    async def _wait_for_watch(self) -> None:
        """Waits until this host has been one that watches for some time.

        Guards against hosts that take over in an outage from one that was
        late and is taken for dead: while another one watches, a second is
        wanted only in case that one fails.
        """
        await self._wait_for_place({0: _GAIN_S, 1: _SECOND_GAIN_S})

    async def _wait_for_relief(self) -> None:
        """Waits until others have watched in its place for some time.

        A former watcher goes on for a while, until its successor has begun.
        """
        await self._wait_for_place({None: _LOSS_S})

    async def _wait_for_place(
        self, settle_s: Mapping[int | None, float]
    ) -> None:
        """Waits until this host has kept one of some places for long enough.

        Args:
            settle_s: How long it has to keep each of them, seconds.
        """
        while True:
            version = self._view.changed.version
            place = self._partners.find_watch_place()
            if place not in settle_s:
                await self._view.changed.wait_beyond(version)
                continue
            with trio.move_on_after(settle_s[place]) as scope:
                await self._wait_while_at(place)
            if scope.cancelled_caught:
                return

    async def _wait_while_at(self, place: int | None) -> None:
        while True:
            version = self._view.changed.version
            if self._partners.find_watch_place() != place:
                return
            await self._view.changed.wait_beyond(version)
