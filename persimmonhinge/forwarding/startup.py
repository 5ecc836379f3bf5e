"""Forwards packets while the rest of the program is still imported."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import select
import sys
import time

from persimmonhinge import early_logs
from persimmonhinge import errors
from persimmonhinge.forwarding import core as cores
from persimmonhinge.forwarding.decisions import import_pace
from persimmonhinge.light_typing import TYPE_CHECKING
from persimmonhinge.store import blocking_transport

if TYPE_CHECKING:
    import importlib.machinery
    import types

    from persimmonhinge.store import port

logger = early_logs.get_logger(__name__)

_MS_PER_S = 1000


class _TurnFinder:
    """Finds no module, but gives packets a turn before each import.

    It is a meta path finder by its method alone, as the module of the abstract
    class is slow to import.
    """

    def __init__(self, core: cores.ForwardCore) -> None:
        self._core = core
        self._pace = import_pace.ImportPace()
        self._readable = select.poll()
        self._readable.register(core.socket.socket.fileno(), select.POLLIN)

    def find_spec(
        self,
        fullname: str,
        path: Sequence[str] | None,
        target: types.ModuleType | None = None,
    ) -> importlib.machinery.ModuleSpec | None:
        """Forwards the packets that have come; leaves the import to others."""
        packets = self._core.receive_batch()
        self._core.handle_due_openings()
        self._forward_for(self._pace.record_import_end(packets))
        self._pace.record_import_start()
        return None

    def _forward_for(self, time_s: float) -> None:
        """Forwards packets as they come, for some time."""
        ends_at = time.monotonic() + time_s
        while (rest_s := ends_at - time.monotonic()) > 0:
            self._readable.poll(rest_s * _MS_PER_S)
            self._core.receive_batch()
            self._core.handle_due_openings()


def forward_during(
    work: Callable[[], None],
    core: cores.ForwardCore,
    store: port.PlatformReader,
) -> None:
    """Runs imports, and forwards packets between one and the next.

    Guards against the dark time after a restart of all hosts: callers' opening
    packets would be lost while a small host imports the event loop and all that
    needs it. A single import is short. A thread for the imports is no way: it
    keeps the interpreter for whole turns of the scheduler.

    Args:
        work: Imports modules.
        core: The parts of the host.
        store: Client of the store on blocking transports.
    """
    try:
        blocking_transport.run(core.entries.read_all(store))
    except errors.PlatformError as error:
        core.entries.record_failure(error)
        _ask_peers(core)
    finder = _TurnFinder(core)
    if core.knowledge.is_complete():
        sys.meta_path.insert(0, finder)
    try:
        work()
    finally:
        if finder in sys.meta_path:
            sys.meta_path.remove(finder)


def _ask_peers(core: cores.ForwardCore) -> None:
    # Needs a library that a start with a store does without.
    from persimmonhinge.forwarding.peers import early_pull

    early_pull.pull_from_seeds(core)
