"""Opens the store for programs that run on trio."""

from __future__ import annotations

from persimmonhinge.platform import adapter
from persimmonhinge.platform import store
from persimmonhinge.settings import entry
from persimmonhinge.store import trio_transport


def open_store(settings: entry.PlatformSettings) -> store.MetadataStore:
    """Returns a client of the store that the settings name."""
    addresses = (
        url.removeprefix("http://").rstrip("/") for url in settings.endpoints
    )
    reached = adapter.make_settings(addresses, settings.timeout_s)
    return store.MetadataStore(reached, trio_transport.TrioTransport)
