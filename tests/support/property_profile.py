"""Settings of all property tests; the test runner loads this as a plugin."""

from __future__ import annotations

import os

import hypothesis

# Guards against verdicts that depend on how busy the machine is, or that do
# not repeat.
hypothesis.settings.register_profile(
    "repeatable",
    deadline=None,
    derandomize=True,
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)
# For runs by hand with fresh examples.
hypothesis.settings.register_profile(
    "fresh", hypothesis.settings.get_profile("repeatable"), derandomize=False
)
hypothesis.settings.load_profile(
    os.environ.get("PERSIMMONHINGE_EXAMPLES", "repeatable")
)
