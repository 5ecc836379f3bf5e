"""What a host believes of the platform, and since when."""

from __future__ import annotations

from collections.abc import Callable

from persimmonhinge import early_logs
from persimmonhinge import ids
from persimmonhinge.forwarding import desired_state as desired_states
from persimmonhinge.forwarding import directory as directories
from persimmonhinge.forwarding import flow as flows
from persimmonhinge.forwarding import route as routes
from persimmonhinge.forwarding import upstream as upstreams
from persimmonhinge.forwarding.decisions import trust as trusts

logger = early_logs.get_logger(__name__)


class Knowledge:
    """The desired state and the upstreams, as they were last heard of.

    Attributes:
        directory: The upstreams.
        trust: Whether what the store leaves out can be relied on.
        evacuated: Failure domains whose upstreams get no new flows.
        tell_state: Called when a version comes into force.
        confirmed_at: When the store last said that nothing is newer; None
            if it never did.
    """

    def __init__(self, flow_life_s: float, max_age_s: float) -> None:
        """Makes the knowledge of a host that has just started.

        Args:
            flow_life_s: How long upstreams that have gone are remembered,
                seconds.
            current_s: Age up to which it is current, seconds.
        """
        self._max_age_s = max_age_s
        self.directory = directories.Directory(flow_life_s)
        self.store_trust = trusts.StoreTrust()
        self.evacuated: frozenset[ids.DomainId] = frozenset()
        self.on_state_change: Callable[[], None] | None = None
        self.confirmed_at: float | None = None
        self._state: desired_states.DesiredState | None = None
        self._removed_routes: set[routes.RouteAddress] = set()

    @property
    def state(self) -> desired_states.DesiredState | None:
        """The desired state in force; None if none is known yet."""
        return self._state

    def find_route(self, flow: flows.FlowId) -> routes.Route | None:
        """Returns the route of a flow, None if there is none."""
        if self._state is None:
            return None
        at = routes.RouteAddress(flow.service, flow.service_port)
        return self._state.routes.get(at)

    def is_route_removed(self, flow: flows.FlowId) -> bool:
        """Tells whether a version that is in force took the flow's route away.

        A route that this host never heard of is another matter: one that was
        just added may be known to the host that opened the flow, but not
        here yet.
        """
        at = routes.RouteAddress(flow.service, flow.service_port)
        return at in self._removed_routes

    def is_current(self, now: float) -> bool:
        """Tells whether what is not known here does not exist.

        Guards against refusing flows of a route that was just added, at a
        host that the store does not answer: the caller's next copy may come
        to a host that knows more.
        """
        confirmed_at = self.confirmed_at
        if self._state is None or confirmed_at is None:
            return False
        return now - confirmed_at < self._max_age_s

    def confirm(self, answered_at: float) -> None:
        """Takes in that the store said at a time that nothing is newer."""
        if self.confirmed_at is None or answered_at > self.confirmed_at:
            self.confirmed_at = answered_at

    def compute_age_ms(self, now: float) -> int:
        """Returns how long ago the store confirmed this, -1 if never."""
        if self.confirmed_at is None:
            return -1
        return int((now - self.confirmed_at) * 1000)

    def is_complete(self) -> bool:
        """Tells whether this host knows enough to serve."""
        return self._state is not None and len(self.directory) > 0

    def apply_state(
        self, state: desired_states.DesiredState, source: str
    ) -> bool:
        """Puts a version in force if it is newer.

        Guards against going back: a read that was answered late, or a peer
        that was cut off, brings an old version after a newer one was in
        force. Versions only grow, so older ones are refused.

        Returns:
            True if it is in force now.
        """
        former = self._state.version if self._state is not None else None
        if former is not None and former >= state.version:
            return False
        if self._state is not None:
            self._removed_routes |= self._state.routes.keys()
        self._removed_routes -= state.routes.keys()
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

    def evacuate(self, domain: ids.DomainId, source: str) -> None:
        """Takes in that a failure domain is to get no new flows."""
        self._set_evacuated(self.evacuated | {domain}, domain, source)

    def end_evacuation(self, domain: ids.DomainId, source: str) -> None:
        """Takes in that a failure domain gets new flows again."""
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
        logger.info(
            "Evacuation of a failure domain changed.",
            extra={
                "evacuated_domain": domain,
                "evacuated": domain in evacuated,
                "source": source,
            },
        )

    def apply_upstream(
        self, upstream: upstreams.Upstream, now: float, source: str
    ) -> None:
        """Takes in the entry of an upstream."""
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
        self, upstream: ids.UpstreamId, now: float, source: str
    ) -> None:
        """Takes in that the entry of an upstream is not there.

        Guards against taking all upstreams for dead after an outage of the
        store in which their entries expired: while the store can't be relied
        on, they are kept as missing, and judged later by `settle`.
        """
        known = self._find_not_ended(upstream)
        if known is None:
            return
        if self.store_trust.holds(now):
            self.directory.remove(upstream, now)
        else:
            self.directory.set_state(upstream, upstreams.UpstreamState.MISSING)
        present = self.directory.get(upstream)
        logger.info(
            "Entry of an upstream ended.",
            extra={
                "upstream": upstream,
                "state": present.state.value if present else None,
                "former": known.state.value,
                "source": source,
            },
        )

    def remove_upstream(
        self, upstream: ids.UpstreamId, now: float, source: str
    ) -> None:
        """Takes in that an incarnation of an upstream has surely ended.

        Guards against packets of its flows that reach its successor, which
        has the same address and does not know them: their callers hear a
        reset at once, whatever the store's state.
        """
        known = self._find_not_ended(upstream)
        if known is None:
            return
        self.directory.remove(upstream, now)
        logger.info(
            "Upstream was started again.",
            extra={
                "upstream": upstream,
                "former": known.state.value,
                "source": source,
            },
        )

    def has_ended(self, upstream: ids.UpstreamId) -> bool:
        """Tells whether an upstream has ended, or was never heard of."""
        return self._find_not_ended(upstream) is None

    def stop_new_flows(self, upstream: ids.UpstreamId, source: str) -> None:
        """Gives an upstream no new flows until its next entry."""
        known = self._find_not_ended(upstream)
        if known is None:
            return
        self.directory.set_state(upstream, upstreams.UpstreamState.DRAINING)
        logger.warning(
            "Withholds new flows from an upstream.",
            extra={
                "upstream": upstream,
                "former": known.state.value,
                "source": source,
            },
        )

    def remove_missing_upstreams(self, now: float) -> None:
        """Takes missing upstreams for gone once the store can be relied on."""
        if not self.store_trust.holds(now):
            return
        for upstream in self.directory.list_all():
            if upstream.state is upstreams.UpstreamState.MISSING:
                self.record_missing_entry(upstream.id, now, "settle")

    def _find_not_ended(
        self, upstream: ids.UpstreamId
    ) -> upstreams.Upstream | None:
        """Returns an upstream that is known and has not ended."""
        known = self.directory.get(upstream)
        if known is None or known.state is upstreams.UpstreamState.ENDED:
            return None
        return known
