"""The status of a host, as operators and their command line read it."""

from __future__ import annotations

import msgspec

from persimmonhinge import ids
from persimmonhinge.contracts import body_digest
from persimmonhinge.contracts import contract as contracts
from persimmonhinge.contracts import control as controls
from persimmonhinge.contracts import store as stores
from persimmonhinge.flows import chooser as choosers
from persimmonhinge.keys import store as key_stores
from persimmonhinge.membership import placement as placements
from persimmonhinge.membership import view as views
from persimmonhinge.metrics import counts as host_counts


class StatusDocument:
    """Writes the status and explains routes, from what the host believes."""

    def __init__(
        self,
        view: views.View,
        placement: placements.Placement,
        contract_store: stores.ContractStore,
        keys: key_stores.KeyStore,
        chooser: choosers.UpstreamChooser,
        counts: host_counts.Counts,
        control: controls.Control,
    ) -> None:
        self._view = view
        self._placement = placement
        self._contracts = contract_store
        self._keys = keys
        self._chooser = chooser
        self._counts = counts
        self._control = control

    def describe(self, *, ready: bool) -> dict[str, object]:
        """Returns the status; it holds no secret."""
        me = self._view.self_member
        return {
            "host": me.host,
            "domain": me.domain,
            "incarnation": me.incarnation,
            "state": me.state.value,
            "ready": ready,
            "contracts": self._contracts.revisions(),
            "contract_digests": {
                record.service: body_digest.compute_digest(record.body)
                for record in self._contracts.records()
                if record.body
            },
            "key_revision": self._keys.record.revision,
            "key_age_s": self._keys.age_s(),
            "control": msgspec.to_builtins(self._control.report()),
            "members": [
                {
                    "host": member.host,
                    "domain": member.domain,
                    "state": member.state.value,
                    "incarnation": member.incarnation,
                }
                for member in self._view.all()
            ],
            "upstreams": self._describe_upstreams(),
            "counts": self._describe_counts(),
        }

    def explain(
        self, service: ids.ServiceName, caller: tuple[str, int]
    ) -> dict[str, object] | None:
        """Says where a flow goes and why; None for an unknown service."""
        entry = self._contracts.get(service)
        if entry is None:
            return None
        ranked = self._placement.rank_homes(service, caller)
        home = ranked[0] if ranked else None
        return {
            "service": service,
            "caller": f"{caller[0]}:{caller[1]}",
            "home": home.host if home else None,
            "home_domain": home.domain if home else None,
            "ranked": [member.host for member in ranked],
            "upstreams": [
                self._explain_upstream(entry, upstream)
                for upstream in entry.contract.upstreams
            ],
        }

    def _describe_upstreams(self) -> list[dict[str, object]]:
        return [
            self._describe_upstream(entry, upstream)
            for entry in self._contracts.entries()
            for upstream in entry.contract.upstreams
        ]

    def _describe_upstream(
        self, entry: stores.ContractEntry, upstream: contracts.Upstream
    ) -> dict[str, object]:
        service = ids.ServiceName(entry.contract.service)
        keeper = self._find_keeper(entry, upstream)
        load = self._chooser.get_load(service, ids.UpstreamId(upstream.id))
        return {
            "service": service,
            "upstream": upstream.id,
            "domain": upstream.domain,
            "keeper": keeper,
            "slots": load.slots if load else upstream.slots,
            "busy": load.busy if load else None,
            "queued": load.queued if load else None,
            "feeds": load.feeds if load else None,
            "accepting": load.accepting if load else None,
            "trust": round(load.trust, 3) if load else None,
        }

    def _explain_upstream(
        self, entry: stores.ContractEntry, upstream: contracts.Upstream
    ) -> dict[str, object]:
        keeper = self._find_keeper(entry, upstream)
        return {
            "upstream": upstream.id,
            "keeper": keeper,
            "why": self._give_reason(entry, upstream, keeper),
        }

    def _give_reason(
        self,
        entry: stores.ContractEntry,
        upstream: contracts.Upstream,
        keeper: ids.HostId | None,
    ) -> str:
        if upstream.domain in entry.evacuated:
            return f"its failure domain {upstream.domain} is evacuated"
        if upstream.state is not contracts.UpstreamState.ACTIVE:
            return "drains by its contract"
        if keeper is None:
            return f"no live host in its domain {upstream.domain}"
        service = ids.ServiceName(entry.contract.service)
        load = self._chooser.get_load(service, ids.UpstreamId(upstream.id))
        if load is None:
            return "its keeper has not reported yet"
        if not load.accepting:
            return "its keeper reports that it drains"
        return (
            f"policy {entry.contract.policies.choice}: busy {load.busy} of "
            f"{load.slots}, queued {load.queued}, feeds {load.feeds}, "
            f"trust {load.trust:.2f}"
        )

    def _find_keeper(
        self, entry: stores.ContractEntry, upstream: contracts.Upstream
    ) -> ids.HostId | None:
        key = ids.UpstreamId(f"{entry.contract.service}/{upstream.id}")
        keeper = self._placement.find_keeper(key, upstream.domain)
        return keeper.host if keeper else None

    def _describe_counts(self) -> dict[str, int]:
        return {
            _join(name, labels): value
            for (name, labels), value in self._counts.counters().items()
        }


def _join(name: str, labels: host_counts.Labels) -> str:
    if not labels:
        return name
    inner = ",".join(f"{key}={value}" for key, value in labels)
    return f"{name}{{{inner}}}"
