"""One try to pull a snapshot from another host, and its log lines."""

from __future__ import annotations

import time

from persimmonhinge import early_logs
from persimmonhinge.forwarding import core as cores
from persimmonhinge.forwarding.peers import messages

logger = early_logs.get_logger(__name__)


class PullAttempt:
    """Notes how a pull goes, so that one that fails can be explained.

    Attributes:
        host: Address of the other host.
        octets: What it has sent so far.
    """

    def __init__(self, core: cores.ForwardCore, host: str) -> None:
        """Begins a pull.

        Args:
            core: The parts of this host.
            host: Address of the other host.
        """
        self._core = core
        self._began_at = time.monotonic()
        self.host = host
        self.octets = bytearray()

    def take(self, snapshot: messages.Snapshot) -> None:
        """Takes in a whole snapshot that came."""
        self._record(snapshot)
        self._core.entries.apply_snapshot(snapshot, self.host)

    def take_short(self, snapshot: messages.Snapshot) -> None:
        """Takes in a short snapshot that came."""
        self._record(snapshot)
        self._core.entries.apply_short_snapshot(snapshot, self.host)

    def _record(self, snapshot: messages.Snapshot) -> None:
        self._core.counts.observe("snapshot_seconds", self._compute_time_s())
        logger.info(
            "Pulled a snapshot.",
            extra={
                **self._describe(),
                "revision": snapshot.revision,
                "entries": len(snapshot.entries),
                "state_revision": snapshot.state_revision,
            },
        )

    def record_failure(self, error: Exception) -> None:
        """Records that no snapshot came.

        Errors of a time limit have no text, so their type is named.
        """
        self._core.counts.add("snapshot_errors_total")
        logger.warning(
            "Can't pull a snapshot: %s %s.",
            type(error).__name__,
            error,
            extra=self._describe(),
        )

    def record_refusal(self) -> None:
        """Records that the host gives its desired state to others now."""
        self._core.counts.add("snapshot_refusals_total")
        logger.info("A peer gives no snapshot now.", extra=self._describe())

    def _describe(self) -> dict[str, object]:
        return {
            "peer": self.host,
            "former": self._core.entries.revision,
            "octets": len(self.octets),
            "took_s": round(self._compute_time_s(), 3),
        }

    def _compute_time_s(self) -> float:
        return time.monotonic() - self._began_at
