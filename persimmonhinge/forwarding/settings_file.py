"""The settings file of a host, which the platform may write at any time."""

from __future__ import annotations

import os
import time

from persimmonhinge import errors
from persimmonhinge.forwarding import settings as settings_module

# Time for which a start reads a file again that is missing or can't be used,
# seconds: the platform writes it at each start.
_START_LIMIT_S = 1.0
_START_RETRY_INTERVAL_S = 0.02

# Time of the last modification in nanoseconds, octets, and inode.
_Version = tuple[int, int, int]


class SettingsFile:
    """Reads the settings file, and tells whether it has changed since.

    Attributes:
        path: Path of the file.
    """

    def __init__(self, path: str) -> None:
        """Creates the file; nothing is read before `load`."""
        self.path = path
        self._version: _Version | None = None

    def load(self) -> settings_module.ForwardSettings:
        """Reads the settings.

        Raises:
            RefusedSettingsError: The file can't be read or used.
        """
        # First, so that a change during the read counts as a change.
        self._version = self._read_version()
        return settings_module.load(self.path)

    def load_at_start(self) -> settings_module.ForwardSettings:
        """Reads the settings; waits a little for a file that can't be used.

        Raises:
            RefusedSettingsError: The file still can't be read or used.
        """
        ends_at = time.monotonic() + _START_LIMIT_S
        while True:
            try:
                return self.load()
            except errors.RefusedSettingsError:
                if time.monotonic() >= ends_at:
                    raise
            time.sleep(_START_RETRY_INTERVAL_S)

    def is_changed(self) -> bool:
        """Returns whether the file was changed since it was last read."""
        return self._read_version() != self._version

    def _read_version(self) -> _Version | None:
        """Returns the version; None if there is no file."""
        try:
            status = os.stat(self.path)
        except (OSError, ValueError):
            # `load` reports what is wrong with the path.
            return None
        return status.st_mtime_ns, status.st_size, status.st_ino
