"""What an upstream stand-in counts, and the faults it was told to show."""

from __future__ import annotations

import dataclasses
import json
import time
from typing import Any

from tests.standins import upstream_settings


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults that a test asks for by `POST /standin/fault`.

    Attributes:
        stall: Requests are swallowed without any sign.
        slow: Factor of the run time.
        errors: Requests are answered with 5.00 at once and not run.
        shed: Requests are refused with 5.03.
        lie: The health resource says that all is well.
        silent_feeds: Feeds that are open now get nothing more, not even an
            answer on their token; new ones work.
    """

    stall: bool = False
    slow: float = 1.0
    errors: bool = False
    shed: bool = False
    lie: bool = False
    silent_feeds: bool = False


class UpstreamState:
    """Counters, faults and the log of executions."""

    def __init__(self, settings: upstream_settings.UpstreamSettings) -> None:
        self.settings = settings
        self.faults = Faults()
        self.draining = False
        self.running = 0
        self.feeds = 0
        self.counts = {
            "runs": 0,
            "excess": 0,
            "misrouted": 0,
            "sheds": 0,
            "max_concurrency": 0,
            "max_feeds": 0,
            "excess_feeds": 0,
        }
        self._log = settings.log.open("a", encoding="utf-8")

    def append(self, kind: str, **members: Any) -> None:
        """Appends a line to the log."""
        line = {
            "t": time.time(),
            "service": self.settings.service,
            "upstream": self.settings.id,
            "kind": kind,
            **members,
        }
        self._log.write(json.dumps(line) + "\n")
        self._log.flush()

    def set_faults(self, document: dict[str, Any]) -> None:
        """Replaces the faults by those of a document.

        Raises:
            TypeError: It names a fault that there is not.
        """
        self.faults = Faults(**document)

    def count_feed(self, change: int) -> None:
        """Counts and logs a feed that was opened or closed."""
        self.feeds += change
        self.append("feeds", feeds=self.feeds)
        self.counts["max_feeds"] = max(self.counts["max_feeds"], self.feeds)

    def describe(self) -> dict[str, Any]:
        """Returns what `GET /standin/stats` shows."""
        return {
            "service": self.settings.service,
            "upstream": self.settings.id,
            "running": self.running,
            "feeds": self.feeds,
            "draining": self.draining,
            **self.counts,
        }
