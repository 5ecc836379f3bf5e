"""A host's view of the platform, and when the store last confirmed it."""

from __future__ import annotations

from collections.abc import Callable

from persimmonhinge import early_logs
from persimmonhinge import ids
from persimmonhinge.forwarding import desired_state
from persimmonhinge.forwarding import directory
from persimmonhinge.forwarding import flow as flow_module
from persimmonhinge.forwarding import route
from persimmonhinge.forwarding import upstream as upstream_module
from persimmonhinge.forwarding.decisions.upstream_health import (
    store_availability,
)

logger = early_logs.get_logger(__name__)

# Maximum number of removed routes in memory: twice those of a large state. The
# flows of a removed route end within a minute.
_MAX_REMOVED_ROUTES = 10_000
# Maximum number of evacuated failure domains: more than a deployment has.
_MAX_EVACUATED_DOMAINS = 1024


class Knowledge:
    """The desired state, upstreams and evacuations that a host received last.

    Attributes:
        directory: The known upstreams.
        store_trust: Whether the absence of an entry in the store is reliable.
        evacuated: Failure domains whose upstreams get no new flows.
        evacuated_names: The same, sorted; each change makes a new list.
        on_state_change: Called when a new desired state comes into force.
        confirmed_at: Time at which the store last confirmed that there are no
            newer entries; None if it never did.
    """

    def __init__(self, flow_life_s: float, max_age_s: float) -> None:
        """Creates the knowledge of a host that has just started.

        Args:
            flow_life_s: Time for which ended upstreams are retained, seconds.
            max_age_s: Maximum time since the last confirmation by the store up
                to which the knowledge counts as current, seconds.
        """
        self._max_age_s = max_age_s
        self.directory = directory.Directory(flow_life_s)
        self.store_trust = store_availability.StoreAvailability()
        self.evacuated: frozenset[ids.DomainId] = frozenset()
        self.evacuated_names: list[ids.DomainId] = []
        self.on_state_change: Callable[[], None] | None = None
        self.confirmed_at: float | None = None
        self._state: desired_state.DesiredState | None = None
        # In the order in which they were removed.
        self._removed_routes: dict[route.RouteAddress, None] = {}

    @property
    def state(self) -> desired_state.DesiredState | None:
        """The desired state in force; None if none is known yet."""
        return self._state

    def find_route(self, flow: flow_module.FlowId) -> route.Route | None:
        """Returns the route of a flow, or None if it has none."""
        if self._state is None:
            return None
        address = route.RouteAddress(flow.service, flow.service_port)
        return self._state.routes.get(address)

    def is_route_removed(self, flow: flow_module.FlowId) -> bool:
        """Returns whether a desired state in force removed a flow's route.

        A route that this host has never known does not count as removed: it
        may have just been added, and be known only to the host that opened
        the flow.
        """
        address = route.RouteAddress(flow.service, flow.service_port)
        return address in self._removed_routes

    def is_current(self, now: float) -> bool:
        """Returns whether routes and upstreams unknown here do not exist.

        Guards against a host that cannot reach the store and refuses flows of
        a route that was just added: the caller's next retransmission may
        arrive at a host with newer entries.
        """
        confirmed_at = self.confirmed_at
        if self._state is None or confirmed_at is None:
            return False
        return now - confirmed_at < self._max_age_s

    def is_outdated(self, now: float) -> bool:
        """Returns whether the store's last confirmation is too long ago."""
        confirmed_at = self.confirmed_at
        return confirmed_at is not None and (
            now - confirmed_at >= self._max_age_s
        )

    def confirm(self, answered_at: float) -> None:
        """Records when the store confirmed that there are no newer entries."""
        if self.confirmed_at is None or answered_at > self.confirmed_at:
            self.confirmed_at = answered_at

    def compute_age_ms(self, now: float) -> int:
        """Returns the time since the last confirmation in ms, or -1 if none."""
        if self.confirmed_at is None:
            return -1
        return int((now - self.confirmed_at) * 1000)

    def is_complete(self) -> bool:
        """Returns whether this host has enough entries to forward flows.

        It needs a desired state and at least one upstream.
        """
        return self._state is not None and len(self.directory) > 0

    def apply_state(
        self, state: desired_state.DesiredState, source: str
    ) -> bool:
        """Puts a desired state into force if its version is newer.

        Guards against reverting to an old version after a newer one came
        into force: a late answer to a read, or a peer that was partitioned,
        may deliver an old one. Versions only increase, so older ones are
        rejected.

        Returns:
            Whether the desired state came into force.
        """
        former = self._state.version if self._state is not None else None
        if former is not None and former >= state.version:
            return False
        self._record_removed_routes(state)
        self._state = state
        logger.info(
            "Desired state in force.",
            extra={
                "version": state.version,
                "former": former,
                "routes": len(state.routes),
                "source": source,
            },
        )
        if self.on_state_change is not None:
            self.on_state_change()
        return True

    def _record_removed_routes(self, state: desired_state.DesiredState) -> None:
        """Records the routes that are not in a new desired state."""
        removed = self._removed_routes
        if self._state is not None:
            gone = self._state.routes.keys() - state.routes.keys()
            removed.update(dict.fromkeys(gone))
        for address in removed.keys() & state.routes.keys():
            del removed[address]
        while len(removed) > _MAX_REMOVED_ROUTES:
            del removed[next(iter(removed))]

    def evacuate(self, domain: ids.DomainId, source: str) -> bool:
        """Stops new flows to the upstreams of a failure domain.

        Returns:
            Whether the domain is evacuated; False if too many others are.
        """
        if domain in self.evacuated:
            return True
        if len(self.evacuated) >= _MAX_EVACUATED_DOMAINS:
            return False
        self._set_evacuated(self.evacuated | {domain}, domain, source)
        return True

    def end_evacuation(self, domain: ids.DomainId, source: str) -> None:
        """Allows new flows to the upstreams of a failure domain again."""
        self._set_evacuated(self.evacuated - {domain}, domain, source)

    def _set_evacuated(
        self,
        evacuated: frozenset[ids.DomainId],
        domain: ids.DomainId,
        source: str,
    ) -> None:
        if evacuated == self.evacuated:
            return
        self.evacuated = evacuated
        self.evacuated_names = sorted(evacuated)
        logger.info(
            "Evacuation of a failure domain changed.",
            extra={
                "evacuated_domain": domain,
                "evacuated": domain in evacuated,
                "source": source,
            },
        )

    def apply_upstream(
        self, upstream: upstream_module.Upstream, now: float, source: str
    ) -> None:
        """Adds or updates an upstream from its entry."""
        former = self.directory.get(upstream.id)
        self.directory.put(upstream, now)
        if former is not None and former.state is upstream.state:
            return
        logger.info(
            "Upstream changed.",
            extra={
                "upstream": upstream.id,
                "service": upstream.service,
                "state": upstream.state.value,
                "former": former.state.value if former else None,
                "source": source,
            },
        )

    def record_missing_entry(
        self, upstream_id: ids.UpstreamId, now: float, source: str
    ) -> None:
        """Records that the entry of an upstream is absent from the store.

        Guards against treating all upstreams as ended after an outage of the
        store in which their entries expired. While the store is unreliable,
        they are marked as missing; `end_missing_upstreams` marks
        them as ended later if their entries stay absent.
        """
        known = self._find_not_ended(upstream_id)
        if known is None:
            return
        if not self.store_trust.confirms_absence(now):
            self.directory.set_state(
                upstream_id, upstream_module.UpstreamState.MISSING
            )
        elif known.state is upstream_module.UpstreamState.DRAINING:
            self.directory.mark_ended(upstream_id, now)
        else:
            self.directory.mark_lapsed(upstream_id, now)
        remaining = self.directory.get(upstream_id)
        logger.info(
            "Entry of an upstream ended.",
            extra={
                "upstream": upstream_id,
                "state": remaining.state.value if remaining else None,
                "former": known.state.value,
                "source": source,
            },
        )

    def end_incarnation(
        self, upstream_id: ids.UpstreamId, now: float, source: str
    ) -> None:
        """Marks an incarnation as ended after a newer one replaced it.

        Packets of its flows go to its successor, which has the same token
        unless it belongs to another service: a flow that was opened before
        this host learned of the newer start may be open there. The successor
        resets flows that it does not have.
        """
        known = self._find_not_ended(upstream_id)
        if known is None:
            return
        self.directory.mark_ended(upstream_id, now)
        logger.info(
            "Upstream was restarted.",
            extra={
                "upstream": upstream_id,
                "former": known.state.value,
                "source": source,
            },
        )

    def has_ended(self, upstream_id: ids.UpstreamId) -> bool:
        """Returns whether an upstream has ended or is unknown."""
        return self._find_not_ended(upstream_id) is None

    def stop_new_flows(self, upstream_id: ids.UpstreamId, source: str) -> None:
        """Stops new flows to an upstream until its next readable entry."""
        known = self._find_not_ended(upstream_id)
        if known is None:
            return
        self.directory.set_state(
            upstream_id, upstream_module.UpstreamState.DRAINING
        )
        logger.warning(
            "Stopped new flows to an upstream with an unreadable entry.",
            extra={
                "upstream": upstream_id,
                "former": known.state.value,
                "source": source,
            },
        )

    def end_missing_upstreams(self, now: float) -> None:
        """Marks missing upstreams as ended if the store is reliable again."""
        if not self.store_trust.confirms_absence(now):
            return
        for upstream in self.directory.list_all():
            if upstream.state is upstream_module.UpstreamState.MISSING:
                self.record_missing_entry(upstream.id, now, "settle")

    def _find_not_ended(
        self, upstream_id: ids.UpstreamId
    ) -> upstream_module.Upstream | None:
        """Returns an upstream, or None if it is unknown or has ended."""
        known = self.directory.get(upstream_id)
        if known is None or known.state is upstream_module.UpstreamState.ENDED:
            return None
        return known
