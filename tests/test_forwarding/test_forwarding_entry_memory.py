"""Tests of the memory of a host whose entries come and go."""

from __future__ import annotations

from collections.abc import Iterator
import contextlib
import gc
import itertools
import time
from unittest import mock

from persimmonhinge import ids
from persimmonhinge.forwarding import desired_state
from persimmonhinge.forwarding import directory as directory_module
from persimmonhinge.forwarding import entry_effects
from persimmonhinge.forwarding import entry_table
from persimmonhinge.forwarding import flow
from persimmonhinge.forwarding import knowledge as knowledge_module
from persimmonhinge.forwarding import route as route_module
from persimmonhinge.forwarding import service_limit
from persimmonhinge.forwarding.decisions.placement import candidates
from persimmonhinge.forwarding.decisions.placement import chooser
from persimmonhinge.forwarding.decisions.placement import flow_rates
from persimmonhinge.forwarding.decisions.placement import warm_up_shares
from persimmonhinge.metrics import counts as counts_module
from tests.test_forwarding import entry_scene
from tests.test_forwarding import scene as scenes

_LIMITS = (
    (candidates, "_MAX_CACHED"),
    (chooser, "_MAX_FULL_GROUPS"),
    (counts_module, "_MAX_SERIES"),
    (counts_module, "_MIN_MERGED_SERIES"),
    (directory_module, "_MAX_EMPTY_DOMAINS"),
    (entry_effects, "_MAX_ENDED_INCARNATIONS"),
    (entry_table, "_MAX_DELETIONS"),
    (flow_rates, "_MAX_ROUTES"),
    (knowledge_module, "_MAX_REMOVED_ROUTES"),
    (service_limit, "MAX_SERVICES"),
    (warm_up_shares, "_MAX_RANKS"),
)
_LIMIT = 10
_STEPS = 60
# Objects that are alive at one time and not at another, such as caches.
_ALLOWED_GROWTH = 100


@contextlib.contextmanager
def lower_limits() -> Iterator[None]:
    """Lowers all limits, so that few steps reach them."""
    with contextlib.ExitStack() as stack:
        for module, name in _LIMITS:
            stack.enter_context(mock.patch.object(module, name, _LIMIT))
        yield


def change_entries(host: entry_scene.EntryHost, number: int) -> None:
    """Adds and removes an upstream, a route and an evacuation."""
    encode = entry_scene.encode
    key = f"servers/i-{number + 256:x}"
    upstream = {
        **entry_scene.UPSTREAM,
        "Zone": f"zone-{number}",
        "Service": "floor" if number % 2 else f"service-{number}",
        "ColdLeftMs": 500,
    }
    route = {
        **entry_scene.ROUTE,
        "Name": f"route-{number}",
        "Service": f"service-{number}",
        "Host": f"198.19.{number // 250}.{number % 250}",
    }
    state = {
        **entry_scene.STATE,
        "Version": number + 8,
        "Routes": [entry_scene.ROUTE, route],
    }
    evacuation = f"op/evacuate/zone-{number}"
    host.put((key, encode(upstream)), (entry_scene.STATE_KEY, encode(state)))
    host.open_flows()
    host.put((evacuation, b"{}"))
    host.open_flows()
    if number % 3 == 0:
        host.core.entries.record_reported_outage()
    host.put((key, None), (evacuation, None))
    host.expire()


def test_memory_does_not_grow_with_entries_that_come_and_go() -> None:
    """Guards against a host that is killed when it exceeds its memory."""
    now = itertools.count(1000.0, 0.5)
    sizes = []
    with (
        lower_limits(),
        entry_scene.run_host() as host,
        mock.patch.object(time, "monotonic", lambda: next(now)),
    ):
        # A host that stops admits all flows, so none waits or is remembered as
        # rejected.
        host.core.forwarder.place_waiting_flows()
        for number in range(3 * _STEPS):
            change_entries(host, number)
            if number % _STEPS == _STEPS - 1:
                gc.collect()
                sizes.append(len(gc.get_objects()))
    assert sizes[2] - sizes[1] < _ALLOWED_GROWTH, sizes


def test_merged_series_keep_the_sum_of_their_metric() -> None:
    counts = counts_module.Counts()
    with lower_limits():
        for number in range(100):
            counts.add("few_total", cause=str(number % 3))
            counts.add("flows_total", upstream=str(number))
            counts.observe_by_labels("wait_seconds", 1.0, route=str(number))
            counts.limit_series()
    assert counts.sum("flows_total") == 100
    assert counts.get("flows_total", upstream="99") == 1
    assert counts.get("few_total", cause="1") == 33
    histograms = counts.histograms()
    assert sum(sum(h.counts) for h in histograms.values()) == 100
    assert sum(h.total_s for h in histograms.values()) == 100.0
    assert len(counts.counters()) + len(histograms) < 50


def test_newest_removed_routes_are_remembered() -> None:
    """Guards against flows of a removed route that are not reset."""
    knowledge = knowledge_module.Knowledge(60.0, 2.2)
    addresses = [route_module.RouteAddress(number, 80) for number in range(40)]
    with lower_limits():
        for version, address in enumerate(addresses):
            route = scenes.make_route(80, ids.ServiceName("floor"))
            state = desired_state.DesiredState(version, {address: route}, 15.0)
            knowledge.apply_state(state, "test")
    removed = [
        address
        for address in addresses
        if knowledge.is_route_removed(flow.FlowId(1, 1, *address))
    ]
    assert removed == addresses[-_LIMIT - 1 : -1]
