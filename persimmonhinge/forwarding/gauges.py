"""Gauges that show a host's peers and the age of its state."""

from __future__ import annotations

from collections.abc import Callable
import math
import time

from persimmonhinge import process_usage
from persimmonhinge.forwarding import core as core_module
from persimmonhinge.forwarding.peers import follower_role
from persimmonhinge.metrics import counts as counts_module


def register_gauges(
    core: core_module.ForwardCore, following: follower_role.FollowerRole
) -> None:
    """Registers the gauges of a host with its metrics page.

    Args:
        core: The parts of the host that need no event loop.
        following: Decides whether the host follows the store.
    """
    domain = core.settings.domain

    def count_domain_hosts() -> float:
        return sum(
            peer.domain == domain for peer in core.peers.list_reporting()
        )

    def compute_oldest_report_age() -> float:
        now = time.monotonic()
        ages = [
            now - peer.last_report_at
            for peer in core.peers.list_reporting()
            if peer.domain == domain and peer.last_report_at is not None
        ]
        return max(ages, default=0.0)

    def compute_knowledge_age() -> float:
        confirmed_at = core.knowledge.confirmed_at
        if confirmed_at is None:
            return math.inf
        return time.monotonic() - confirmed_at

    counts = core.counts
    counts.watch("hosts_heard", lambda: len(core.peers.list_reporting()))
    counts.watch("hosts_heard_in_domain", count_domain_hosts)
    counts.watch("oldest_report_age_seconds", compute_oldest_report_age)
    counts.watch("knowledge_age_seconds", compute_knowledge_age)
    counts.watch("store_revision", lambda: core.entries.revision)
    counts.watch(
        "follows_store",
        lambda: float(following.should_follow(time.monotonic())),
    )
    counts.watch("domains_evacuated", lambda: len(core.knowledge.evacuated))
    counts.watch(
        "upstreams_in_doubt",
        lambda: core.suspicions.count_suspected(time.monotonic()),
    )
    _register_usage(counts)
    if core.overload is not None:
        from persimmonhinge.forwarding import overload_gauges

        overload_gauges.register_gauges(core.overload)


def _register_usage(counts: counts_module.Counts) -> None:
    """Registers what the process uses, by the names that Prometheus uses."""
    for name, read in (
        ("resident_memory_bytes", process_usage.read_resident_octets),
        ("peak_memory_bytes", process_usage.read_peak_octets),
        ("open_fds", process_usage.count_descriptors),
        ("max_fds", process_usage.read_descriptor_limit),
    ):
        counts.watch(f"process_{name}", _make_gauge(read))


def _make_gauge(read: Callable[[], int | None]) -> Callable[[], float]:
    def read_or_nan() -> float:
        value = read()
        return math.nan if value is None else float(value)

    return read_or_nan
