"""Applies changed settings while the host runs."""

from __future__ import annotations

import logging
import os
import time

from persimmonhinge import errors
from persimmonhinge import structured_logs
from persimmonhinge.forwarding import flow
from persimmonhinge.forwarding import settings as settings_module
from persimmonhinge.forwarding.peers import peer_table

logger = logging.getLogger(__name__)

# Settings that take effect on a reload; all others need a restart.
_RELOADABLE_FIELDS = frozenset({"log_level", "seeds"})


class SettingsReloader:
    """Reloads the settings file and applies what needs no restart."""

    def __init__(
        self,
        path: str,
        settings: settings_module.ForwardSettings,
        peers: peer_table.PeerTable,
    ) -> None:
        """Creates the reloader.

        Args:
            path: Path of the settings file.
            settings: The settings in force.
            peers: The other hosts, to which new seeds are added.
        """
        self._path = path
        self._settings = settings
        self._peers = peers
        self._modified_at = self._read_modified_at()

    def is_file_changed(self) -> bool:
        """Returns whether the file was modified since it was last read."""
        return self._read_modified_at() != self._modified_at

    def reload(self) -> None:
        """Reloads the file; on an error, the former settings stay in force."""
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
            self._peers.add(flow.Endpoint(seed, new_settings.report_port), now)
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
        former_values = vars(self._settings)
        new_values = vars(new_settings)
        return {
            name
            for name in new_values
            if new_values[name] != former_values[name]
        }

    def _read_modified_at(self) -> float | None:
        try:
            return os.stat(self._path).st_mtime
        except OSError as error:
            logger.warning(
                "Can't read the modification time of the settings file: %s.",
                error,
            )
            return None
