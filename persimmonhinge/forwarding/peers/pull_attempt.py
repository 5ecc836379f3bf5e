"""One try to pull a snapshot from another host, and its log lines."""

from __future__ import annotations

import time

from persimmonhinge import early_logs
from persimmonhinge.forwarding import core as core_module
from persimmonhinge.forwarding.peers import messages

logger = early_logs.get_logger(__name__)


class PullAttempt:
    """Notes how a pull goes, so that one that fails can be explained.

    Attributes:
        host: Address of the other host.
        octets: What it has sent so far.
    """

    def __init__(self, core: core_module.ForwardCore, host: str) -> None:
        """Begins a pull.

        Args:
            core: The parts of this host.
            host: Address of the other host.
        """
        self._core = core
        self._started_at = time.monotonic()
        self.host = host
        self.octets = bytearray()

    def apply_snapshot(self, snapshot: messages.Snapshot) -> None:
        """Takes in a whole snapshot that came."""
        self._record_success(snapshot)
        self._core.entries.take_snapshot(snapshot, self.host)

    def apply_short_snapshot(self, snapshot: messages.Snapshot) -> None:
        """Takes in a short snapshot that came."""
        self._record_success(snapshot)
        self._core.entries.take_short_snapshot(snapshot, self.host)

    def _record_success(self, snapshot: messages.Snapshot) -> None:
        self._core.counts.observe(
            "snapshot_seconds", self._compute_duration_s()
        )
        logger.info(
            "Pulled a snapshot.",
            extra={
                **self._make_log_fields(),
                "revision": snapshot.revision,
                "entries": len(snapshot.entries),
                "state_revision": snapshot.omitted_state_revision,
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
            extra=self._make_log_fields(),
        )

    def record_refusal(self) -> None:
        """Records that the host gives its desired state to others now."""
        self._core.counts.add("snapshot_refusals_total")
        logger.info(
            "A peer gives no snapshot now.", extra=self._make_log_fields()
        )

    def _make_log_fields(self) -> dict[str, object]:
        return {
            "peer": self.host,
            "former": self._core.entries.revision,
            "octets": len(self.octets),
            "took_s": round(self._compute_duration_s(), 3),
        }

    def _compute_duration_s(self) -> float:
        return time.monotonic() - self._started_at
