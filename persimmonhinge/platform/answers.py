"""Answers of the platform's store, read into the project's own types."""

from __future__ import annotations

import binascii

from persimmonhinge import json_reader
from persimmonhinge import records
from persimmonhinge.light_typing import TYPE_CHECKING
from persimmonhinge.store import port

if TYPE_CHECKING:
    from typing import Any


class Page(records.Record, frozen=True):
    """A page of items, in order of their keys.

    Attributes:
        items: The items.
        revision: Revision of the whole store, not that of any item.
        has_more: True if this is not the last page.
    """

    items: tuple[port.KeyValue, ...]
    revision: int
    has_more: bool


class News(records.Record, frozen=True):
    """Changes since the revision that was asked for.

    Attributes:
        events: The changes.
        revision: Revision of the store up to which these are all.
    """

    events: tuple[port.WatchEvent, ...]
    revision: int


def read_page(document: dict[str, Any]) -> Page:
    """Reads a page of items.

    Raises:
        ValueError: It is none.
    """
    items = json_reader.read_field(document, "items", list)
    return Page(
        tuple(read_item(json_reader.expect(i, dict, "item")) for i in items),
        json_reader.read_field(document, "CurrentRev", int),
        json_reader.read_field(document, "HasMore", bool, False),
    )


def read_news(document: dict[str, Any]) -> News:
    """Reads the changes that a watch told.

    Raises:
        ValueError: They are none.
    """
    events = json_reader.read_field(document, "events", list)
    return News(
        tuple(
            _read_event(json_reader.expect(e, dict, "event")) for e in events
        ),
        json_reader.read_field(document, "CurrentRev", int),
    )


def read_item(document: dict[str, Any]) -> port.KeyValue:
    """Reads a key as it stands.

    Raises:
        ValueError: It is none.
    """
    read = json_reader.read_field
    return port.KeyValue(
        read(document, "Key", str),
        _read_value(document),
        read(document, "Revision", int),
    )


def _read_event(document: dict[str, Any]) -> port.WatchEvent:
    read = json_reader.read_field
    deleted = read(document, "Tombstone", bool, False)
    return port.WatchEvent(
        read(document, "Key", str),
        None if deleted else _read_value(document),
        read(document, "Revision", int),
    )


def _read_value(document: dict[str, Any]) -> bytes:
    text = json_reader.read_field(document, "Value", str, "")
    return binascii.a2b_base64(text)
