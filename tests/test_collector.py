"""Tests of how often Python's garbage collector runs."""

from __future__ import annotations

import gc

from persimmonhinge import collector


def test_collections_go_on_after_the_start() -> None:
    """A host's memory grows until the platform kills it.

    Collections are off while modules are imported, and nothing turns them on
    again: what tasks and errors leave in circles is never freed. Cause: a
    pause without an end.
    """
    thresholds = gc.get_threshold()
    try:
        collector.pause()
        assert not gc.isenabled()
        collector.relax()
        assert gc.isenabled()
        assert gc.get_threshold() > thresholds
    finally:
        gc.enable()
        gc.unfreeze()
        gc.set_threshold(*thresholds)
