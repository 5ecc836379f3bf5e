"""Forwards packets while the rest of the program is being imported."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import select
import sys
import time

from persimmonhinge import early_logs
from persimmonhinge.forwarding import core as core_module
from persimmonhinge.forwarding import store_failures
from persimmonhinge.forwarding.decisions.pace import import_pace
from persimmonhinge.light_typing import TYPE_CHECKING
from persimmonhinge.store import blocking_transport

if TYPE_CHECKING:
    import importlib.machinery
    import types

    from persimmonhinge.store import port

logger = early_logs.get_logger(__name__)

_MS_PER_S = 1000
# Time for the read of all entries at a start, seconds, after which other hosts
# are asked. A single call has a shorter limit.
MAX_READ_S = 5.0
# Maximum time for packets that were received during one import, and during all
# imports, seconds. What is left is read a batch for each import.
_MAX_BACKLOG_TIME_S = 0.05
_MAX_TOTAL_BACKLOG_TIME_S = 1.0
# Longest wait for packets while new flows wait to be released, seconds.
_RELEASE_INTERVAL_S = 0.01


class _ForwardingFinder:
    """Meta path finder that forwards packets before each import.

    It never finds a module. It does not derive from the abstract base class of
    finders, as the module of that class is slow to import.
    """

    def __init__(self, core: core_module.ForwardCore) -> None:
        self._core = core
        self._pace = import_pace.ImportPace()
        self._backlog_time_left_s = _MAX_TOTAL_BACKLOG_TIME_S
        self._poll = select.poll()
        self._poll.register(core.socket.socket.fileno(), select.POLLIN)

    def find_spec(
        self,
        fullname: str,
        path: Sequence[str] | None,
        target: types.ModuleType | None = None,
    ) -> importlib.machinery.ModuleSpec | None:
        """Forwards received packets; returns None for the next finder."""
        packet_count = self._core.receive_batch()
        self._handle_backlog()
        self._core.forwarder.release_waiting_flows()
        self._forward_for(self._pace.record_import_end(packet_count))
        self._pace.record_import_start()
        return None

    def _handle_backlog(self) -> None:
        """Reads the packets that were received, within a limit of time."""
        began_at = time.monotonic()
        ends_at = began_at + min(_MAX_BACKLOG_TIME_S, self._backlog_time_left_s)
        while self._core.handle_due_openings() and time.monotonic() < ends_at:
            pass
        self._backlog_time_left_s -= time.monotonic() - began_at

    def _forward_for(self, duration_s: float) -> None:
        """Forwards packets as they arrive, for a duration in seconds."""
        ends_at = time.monotonic() + duration_s
        while (remaining_s := ends_at - time.monotonic()) > 0:
            if self._core.forwarder.has_waiting_flows:
                remaining_s = min(remaining_s, _RELEASE_INTERVAL_S)
            self._poll.poll(remaining_s * _MS_PER_S)
            self._core.receive_batch()
            self._core.handle_due_openings()
            self._core.forwarder.release_waiting_flows()


def forward_during_imports(
    import_modules: Callable[[], None],
    core: core_module.ForwardCore,
    store: port.PlatformReader,
) -> None:
    """Imports modules, and forwards packets between two imports.

    If packets waited until all imports are done, callers' opening packets would
    be lost after a restart of all hosts, while a small host imports the event
    loop and the modules that use it. A single import is short. The imports
    don't run in a thread, as that thread would hold the interpreter lock for
    whole scheduling intervals.

    Args:
        import_modules: Imports the modules.
        core: The parts of the host that need no event loop.
        store: Client of the store on blocking transports.
    """
    try:
        blocking_transport.run(core.entries.read_all(store))
    except Exception as error:
        store_failures.record_failed_call(core.entries, core.refusals, error)
        _pull_from_seeds(core)
    finder = _ForwardingFinder(core)
    if core.knowledge.is_complete():
        sys.meta_path.insert(0, finder)
    try:
        import_modules()
    finally:
        if finder in sys.meta_path:
            sys.meta_path.remove(finder)


def _pull_from_seeds(core: core_module.ForwardCore) -> None:
    # Imported only here, as it imports a library that a start does without if
    # the store answers.
    from persimmonhinge.forwarding.peers import early_pull

    early_pull.pull_from_seeds(core)
