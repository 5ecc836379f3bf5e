"""Takes over changed settings while the host runs."""

from __future__ import annotations

import logging
import os
import time

from persimmonhinge import errors
from persimmonhinge import structured_logs
from persimmonhinge.forwarding import flow
from persimmonhinge.forwarding import settings as settings_module
from persimmonhinge.forwarding.peers import book as book_module

logger = logging.getLogger(__name__)

# What takes effect at once; all else needs a restart.
_RELOADABLE_FIELDS = frozenset({"log_level", "seeds"})


class SettingsReloader:
    """Reads the settings file again and takes over what it can."""

    def __init__(
        self,
        path: str,
        settings: settings_module.ForwardSettings,
        book: book_module.PeerBook,
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
        self._modified_at = self._read_modified_at()

    def is_file_changed(self) -> bool:
        """Tells whether the file was written since it was last read."""
        return self._read_modified_at() != self._modified_at

    def reload(self) -> None:
        """Reads the file; settings that are bad leave the former in force."""
        self._modified_at = self._read_modified_at()
        try:
            new_settings = settings_module.load(self._path)
        except errors.SettingsError as error:
            logger.error("Keeps the former settings: %s.", error)
            return
        changed_fields = self._list_changed_fields(new_settings)
        self._settings = new_settings
        structured_logs.configure(new_settings.host, new_settings.log_level)
        now = time.monotonic()
        for seed in new_settings.seed_addresses():
            self._book.add(flow.Endpoint(seed, new_settings.report_port), now)
        logger.info(
            "Read the settings again.",
            extra={
                "changed": sorted(changed_fields & _RELOADABLE_FIELDS),
                "needs_restart": sorted(changed_fields - _RELOADABLE_FIELDS),
            },
        )

    def _list_changed_fields(
        self, new_settings: settings_module.ForwardSettings
    ) -> set[str]:
        former = vars(self._settings)
        new = vars(new_settings)
        return {name for name in new if new[name] != former[name]}

    def _read_modified_at(self) -> float | None:
        try:
            return os.stat(self._path).st_mtime
        except OSError as error:
            logger.warning("Can't look at the settings file: %s.", error)
            return None
