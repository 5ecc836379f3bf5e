"""The least loaded candidate that has a slot free."""

from __future__ import annotations

from persimmonhinge.policies import choice
from persimmonhinge.policies import choice_least_loaded


@choice.choices.register("free-slot")
class FreeSlotChoice(choice_least_loaded.LeastLoadedChoice):
    """Takes the least load, and asks its keeper for a slot that is free.

    Guards against choice by reports that are older than a request runs for:
    requests wait at one upstream while another one idles. The keeper alone
    knows what is free, and says so at the cost of one message and only
    where there was none.
    """

    asks = True
