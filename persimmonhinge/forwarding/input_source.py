"""Kinds of inputs that reach a forwarding host from outside."""

from __future__ import annotations

import enum


class InputSource(enum.Enum):
    """Where an input comes from; the value is its label in metrics and logs.

    ENTRY: An entry of the store.
    STORE_ANSWER: An answer of the store, which may hold many entries.
    PACKET: A datagram at the packet socket.
    PEER_MESSAGE: A datagram from another host.
    SNAPSHOT_REQUEST: A request of another host for a snapshot.
    SNAPSHOT: A snapshot that another host sent.
    PAGE_REQUEST: An HTTP request for a page.
    SETTINGS: The settings file.
    """

    ENTRY = "entry"
    STORE_ANSWER = "store-answer"
    PACKET = "packet"
    PEER_MESSAGE = "peer-message"
    SNAPSHOT_REQUEST = "snapshot-request"
    SNAPSHOT = "snapshot"
    PAGE_REQUEST = "page-request"
    SETTINGS = "settings"
