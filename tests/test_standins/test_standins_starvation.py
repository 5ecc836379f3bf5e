"""Tests of the lines about processes that got no processor."""

from __future__ import annotations

import contextlib
import io
import sys
import time
from unittest import mock

import trio
import trio.testing

from tests.standins import starvation
from tests.support import trios

_GAP_S = 0.6


@trios.trio_test
async def test_line_about_a_gap_is_not_in_captured_output() -> None:
    """Guards against commands whose output can't be read on busy machines."""
    captured, shown = io.StringIO(), io.StringIO()
    with (
        mock.patch.object(sys, "__stdout__", shown),
        contextlib.redirect_stdout(captured),
    ):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(starvation.report_gaps)
            await trio.testing.wait_all_tasks_blocked()
            time.sleep(_GAP_S)
            await trio.sleep(_GAP_S / 2)
            nursery.cancel_scope.cancel()
    assert "did not run for" in shown.getvalue()
    assert not captured.getvalue()
