"""One attempt to pull a snapshot from another host, and its log lines."""

from __future__ import annotations

from collections.abc import Callable
import time

from persimmonhinge import early_logs
from persimmonhinge import errors
from persimmonhinge.forwarding import core as core_module
from persimmonhinge.forwarding import input_source
from persimmonhinge.forwarding.peers import codec
from persimmonhinge.forwarding.peers import message_limits
from persimmonhinge.forwarding.peers import messages

logger = early_logs.get_logger(__name__)

_SOURCE = input_source.InputSource.SNAPSHOT


class PullAttempt:
    """Records the progress of a pull and applies the snapshot.

    The log lines give the progress, so that a failed pull can be diagnosed.

    Attributes:
        host: Address of the other host.
        octets: The octets received from it so far.
    """

    def __init__(self, core: core_module.ForwardCore, host: str) -> None:
        """Starts an attempt.

        Args:
            core: The components of this host.
            host: Address of the other host.
        """
        self._core = core
        self._started_at = time.monotonic()
        self.host = host
        self.octets = bytearray()

    def add_octets(self, octets: bytes | bytearray) -> None:
        """Adds octets of the answer.

        Raises:
            MalformedMessageError: The answer is longer than any snapshot.
        """
        self.octets += octets
        if len(self.octets) > message_limits.MAX_SNAPSHOT_OCTETS:
            raise errors.MalformedMessageError(
                f"is over {message_limits.MAX_SNAPSHOT_OCTETS} octets",
                step="pull snapshot",
                peer=self.host,
            )

    def decode_snapshot(self) -> messages.Snapshot:
        """Returns the snapshot after the connection was closed.

        Raises:
            ConnectionError: There was no answer.
            MalformedMessageError: The answer is no snapshot.
        """
        if not self.octets:
            raise ConnectionError("the host closed the connection")
        return codec.SNAPSHOT_CODEC.decode(self.octets)

    def apply_snapshot(self, snapshot: messages.Snapshot) -> None:
        """Applies a full snapshot, which has the desired state."""
        self._apply(self._core.entries.apply_snapshot, snapshot)

    def apply_short_snapshot(self, snapshot: messages.Snapshot) -> None:
        """Applies a short snapshot, which omits a long desired state."""
        self._apply(self._core.entries.apply_short_snapshot, snapshot)

    def _apply(
        self,
        apply_entries: Callable[[messages.Snapshot, str], None],
        snapshot: messages.Snapshot,
    ) -> None:
        self._record_success(snapshot)
        try:
            apply_entries(snapshot, self.host)
        except Exception as error:
            self.record_unexpected_error(error)

    def _record_success(self, snapshot: messages.Snapshot) -> None:
        self._core.counts.observe(
            "snapshot_seconds", self._compute_duration_s()
        )
        logger.info(
            "Pulled a snapshot from a peer.",
            extra={
                **self._make_log_fields(),
                "revision": snapshot.revision,
                "entries": len(snapshot.entries),
                "state_revision": snapshot.omitted_state_revision,
            },
        )

    def record_failure(self, error: Exception) -> None:
        """Records that the pull failed.

        The log line names the type of the error, since timeout errors have no
        text.
        """
        self._core.counts.add("snapshot_errors_total")
        if isinstance(error, errors.RefusedInputError):
            self._core.refusals.record_refusal(_SOURCE, self.host, error)
        logger.warning(
            "Failed to pull a snapshot from a peer: %s %s.",
            type(error).__name__,
            error,
            extra=self._make_log_fields(),
        )

    def record_unexpected_error(self, error: Exception) -> None:
        """Records an error that no step of a pull is expected to raise."""
        self._core.counts.add("snapshot_errors_total")
        self._core.refusals.record_failure(_SOURCE, self.host, error)

    def record_refusal(self) -> None:
        """Records that the host is busy sending its desired state to others."""
        self._core.counts.add("snapshot_refusals_total")
        logger.info(
            "A peer refused a snapshot request because it is busy.",
            extra=self._make_log_fields(),
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
