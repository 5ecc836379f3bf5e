"""Takes over changed settings while the host runs."""

from __future__ import annotations

import logging
import os
import time

from persimmonhinge import errors
from persimmonhinge import structured_logs
from persimmonhinge.forwarding import flow as flows
from persimmonhinge.forwarding import settings as forward_settings
from persimmonhinge.forwarding.peers import peer_table as books

logger = logging.getLogger(__name__)

# What takes effect at once; all else needs a restart.
_LIVE_FIELDS = frozenset({"log_level", "seeds"})


class Reloader:
    """Reads the settings file again and takes over what it can."""

    def __init__(
        self,
        path: str,
        settings: forward_settings.ForwardSettings,
        book: books.PeerTable,
    ) -> None:
        """Makes the part.

        Args:
            path: The settings file.
            settings: The settings in force.
            book: Where new seeds are entered.
        """
        self._path = path
        self._settings = settings
        self._book = book
        self._changed_at = self._read_time()

    def is_changed(self) -> bool:
        """Tells whether the file was written since it was last read."""
        return self._read_time() != self._changed_at

    def reload(self) -> None:
        """Reads the file; settings that are bad leave the former in force."""
        self._changed_at = self._read_time()
        try:
            fresh = forward_settings.load(self._path)
        except errors.SettingsError as error:
            logger.error("Keeps the former settings: %s.", error)
            return
        changed = self._list_changed(fresh)
        self._settings = fresh
        structured_logs.configure(fresh.host, fresh.log_level)
        now = time.monotonic()
        for seed in fresh.seed_addresses():
            self._book.add(flows.Endpoint(seed, fresh.report_port), now)
        logger.info(
            "Read the settings again.",
            extra={
                "changed": sorted(changed & _LIVE_FIELDS),
                "needs_restart": sorted(changed - _LIVE_FIELDS),
            },
        )

    def _list_changed(
        self, fresh: forward_settings.ForwardSettings
    ) -> set[str]:
        former = vars(self._settings)
        new = vars(fresh)
        return {name for name in new if new[name] != former[name]}

    def _read_time(self) -> float | None:
        try:
            return os.stat(self._path).st_mtime
        except OSError as error:
            logger.warning("Can't look at the settings file: %s.", error)
            return None
