"""A watcher that does not run, for reports."""

from __future__ import annotations

import random

from persimmonhinge.contracts import drains as drain_stores
from persimmonhinge.contracts import records as record_sets
from persimmonhinge.contracts import store as contract_stores
from persimmonhinge.contracts import watcher
from persimmonhinge.keys import store as key_stores
from persimmonhinge.metrics import counts as host_counts
from persimmonhinge.settings import entry
from tests.test_contracts import fake_platform


def make_watcher() -> watcher.Watcher:
    """Returns a watcher of an empty platform."""
    counts = host_counts.Counts()
    records = record_sets.Records(
        contract_stores.ContractStore(),
        key_stores.KeyStore(),
        drain_stores.DrainStore(),
        counts,
    )
    return watcher.Watcher(
        entry.PlatformSettings(endpoints=("http://none:1",)),
        fake_platform.FakePlatform().client("test"),
        records,
        lambda news: None,
        lambda: None,
        counts,
        random.Random(1),
    )
