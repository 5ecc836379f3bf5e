"""The platform's list of hosts, as hints of where hosts may be."""

from __future__ import annotations

from collections.abc import Iterable
import logging

import msgspec

from persimmonhinge.settings import entry
from persimmonhinge.store import keys
from persimmonhinge.store import port

logger = logging.getLogger(__name__)


class _Listed(msgspec.Struct):
    """The part of an entry that is used; the platform may add members."""

    host: str
    domain: str
    address: str
    port: int
    heartbeat_port: int


_decoder = msgspec.json.Decoder(_Listed)


class HostList:
    """Holds the list as this host last read it, while it holds the watch.

    Guards against a host that stays alone: one whose seeds are all gone, or
    that has none, holds the watch as it knows of no other, and so reads the
    list. The list lags: it proves neither that a host lives nor that it is
    gone, and what it names is only tried.
    """

    def __init__(self, prefix: str) -> None:
        """Makes an empty list.

        Args:
            prefix: Beginning of all keys of the deployment.
        """
        self._prefix = prefix + keys.HOSTS
        self._hosts: dict[str, entry.SeedHost] = {}

    def hosts(self) -> Iterable[entry.SeedHost]:
        """Returns the hosts of the list, leaving ones included."""
        return tuple(self._hosts.values())

    def replace(self, values: Iterable[port.KeyValue]) -> None:
        """Takes the whole list as it stands."""
        self._hosts.clear()
        for value in values:
            self._take(value.key, value.value)

    def take_event(self, event: port.WatchEvent) -> None:
        """Takes a change; one of another key is passed over."""
        if event.key.startswith(self._prefix):
            self._take(event.key, event.value)

    def _take(self, key: str, value: bytes | None) -> None:
        self._hosts.pop(key, None)
        if value is None:
            return
        try:
            listed = _decoder.decode(value)
            self._hosts[key] = entry.SeedHost(**msgspec.structs.asdict(listed))
        except (msgspec.MsgspecError, ValueError) as error:
            logger.warning("Entry %s can't be read: %s.", key, error)
