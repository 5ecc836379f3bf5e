"""Tests of the gauges of a forwarding host."""

from __future__ import annotations

import math
import time

from persimmonhinge.forwarding import gauges
from tests.test_forwarding import test_forwarding_peers_reporter as reporters


def test_gauges_show_reporting_hosts_and_unconfirmed_knowledge() -> None:
    core = reporters.make_core(local_hosts=5)
    reporters.add_remote_hosts(core, 7)
    silent_s = core.settings.max_current_age_s + 1.0
    role = reporters.make_follower_role(core, time.monotonic() - silent_s)
    gauges.register_gauges(core, role)
    shown = core.counts.gauges()
    assert shown["hosts_heard"] == 12
    assert shown["hosts_heard_in_domain"] == 5
    assert shown["follows_store"] == 1.0
    assert shown["oldest_report_age_seconds"] > 0.0
    assert shown["knowledge_age_seconds"] == math.inf
    assert shown["upstreams_in_doubt"] == 0
