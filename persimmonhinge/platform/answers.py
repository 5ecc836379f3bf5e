"""Answers of the platform's store, read into the project's own types."""

from __future__ import annotations

import binascii

from persimmonhinge import errors
from persimmonhinge import json_reader
from persimmonhinge import records
from persimmonhinge.forwarding.peers import message_limits
from persimmonhinge.light_typing import TYPE_CHECKING
from persimmonhinge.store import port

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any
    from typing import TypeVar

    from persimmonhinge.platform import item_policy

    T = TypeVar("T")

# Largest whole number that hosts accept in messages of each other.
MAX_NUMBER = message_limits.MAX_REVISION
_MAX_KEY_OCTETS = 200
# What an unreadable item counts as. An empty value is that of no readable
# entry, and no change is older than the revision.
_UNREADABLE_VALUE = b""
_UNKNOWN_REVISION = 0


class Page(records.Record, frozen=True):
    """A page of items, in order of their keys.

    Attributes:
        items: The items that the client uses.
        revision: Revision of the whole store, not that of any item.
        has_more: True if this is not the last page.
        last_key: Last key of the page, used or not; None without any.
        listed: Number of items of the page, used or not.
    """

    items: tuple[port.KeyValue, ...]
    revision: int
    has_more: bool
    last_key: str | None
    listed: int


class News(records.Record, frozen=True):
    """Changes since the revision that was asked for.

    Attributes:
        events: The changes of keys that the client uses.
        revision: Revision of the store up to which these are all.
    """

    events: tuple[port.WatchEvent, ...]
    revision: int


def read_page(document: dict[str, Any], policy: item_policy.ItemPolicy) -> Page:
    """Reads a page of items.

    Raises:
        ValueError: It is none.
        UnreadableAnswerError: The policy does not accept one of its items.
    """
    current = json_reader.read_integer(document, "CurrentRev", 0, MAX_NUMBER)
    listed = json_reader.read_field(document, "items", list)
    keyed = _read_keys(listed, policy)
    items = []
    for key, item in keyed:
        if policy.is_used(key):
            revision, value = _read_content(
                key, item, policy, _read_value, current
            )
            items.append(port.KeyValue(key, value, revision))
    return Page(
        tuple(items),
        current,
        # A page that does not tell whether it is the last one is followed.
        json_reader.read_field(document, "HasMore", bool, bool(listed)),
        keyed[-1][0] if keyed else None,
        len(listed),
    )


def read_news(document: dict[str, Any], policy: item_policy.ItemPolicy) -> News:
    """Reads the changes that a watch told.

    Guards against a change that is lost: no watch tells it again, so all are
    refused if it can't be read which key changed at which revision.

    Raises:
        ValueError: They are none.
        UnreadableAnswerError: The policy does not accept one of them, or one
            has no readable key or, if the key is used, revision.
    """
    current = json_reader.read_integer(document, "CurrentRev", 0, MAX_NUMBER)
    listed = json_reader.read_field(document, "events", list)
    events = []
    for listed_event in listed:
        event = json_reader.expect(listed_event, dict, "event")
        key = _read_key(event)
        if policy.is_used(key):
            _check_revision(key, event, current)
            revision, value = _read_content(
                key, event, policy, _read_change, current
            )
            events.append(port.WatchEvent(key, value, revision))
    return News(tuple(events), current)


def read_item(document: dict[str, Any]) -> port.KeyValue:
    """Reads a key as it stands.

    Raises:
        ValueError: It is none.
    """
    return port.KeyValue(
        _read_key(document),
        _read_value(document, None),
        json_reader.read_integer(document, "Revision", 1, MAX_NUMBER),
    )


def make_error(
    error: ValueError, step: str, key: str = ""
) -> errors.UnreadableAnswerError:
    """Returns the error of an answer, or of one of its items.

    Args:
        error: Why it can't be read.
        step: What was being done.
        key: Key of the item; empty for the whole answer.
    """
    field, reason = "", str(error)
    if isinstance(error, json_reader.FieldError):
        field, reason = error.field, error.reason
    return errors.UnreadableAnswerError(
        reason, step=step, peer=key, field=field
    )


def _read_keys(
    listed: list[object], policy: item_policy.ItemPolicy
) -> list[tuple[str, dict[str, Any]]]:
    """Returns the items whose key can be read, each with its key."""
    keyed = []
    for listed_item in listed:
        try:
            item = json_reader.expect(listed_item, dict, "item")
            keyed.append((_read_key(item), item))
        except ValueError as error:
            policy.refuse_item("", make_error(error, "read item"))
    return keyed


def _read_key(item: dict[str, Any]) -> str:
    key = json_reader.read_field(item, "Key", str)
    try:
        length = len(key.encode())
    except UnicodeEncodeError as error:
        raise json_reader.FieldError("Key", "can't be encoded") from error
    if length > _MAX_KEY_OCTETS:
        raise json_reader.FieldError("Key", f"has {length} octets")
    return key


def _check_revision(key: str, event: dict[str, Any], current: int) -> None:
    try:
        json_reader.read_integer(event, "Revision", 1, current)
    except ValueError as error:
        raise make_error(error, "read event", key) from error


def _read_content(
    key: str,
    item: dict[str, Any],
    policy: item_policy.ItemPolicy,
    read_value: Callable[[dict[str, Any], int | None], T],
    current: int,
) -> tuple[int, T | bytes]:
    """Returns the revision and the value of an item.

    Guards against the deletion of an entry that is there but can't be read: the
    item is not left out. Also guards against an entry that hides all of its
    later changes: no revision is above the current one of the store.
    """
    revision = _UNKNOWN_REVISION
    value: T | bytes = _UNREADABLE_VALUE
    try:
        revision = json_reader.read_integer(item, "Revision", 1, current)
        value = read_value(item, policy.get_max_octets(key))
    except ValueError as error:
        policy.refuse_item(key, make_error(error, "read item", key))
    return revision, value


def _read_change(item: dict[str, Any], max_octets: int | None) -> bytes | None:
    """Returns the value of an event; None for a delete."""
    if json_reader.read_field(item, "Tombstone", bool, False):
        return None
    return _read_value(item, max_octets)


def _read_value(item: dict[str, Any], max_octets: int | None) -> bytes:
    text = json_reader.read_field(item, "Value", str, "")
    # Checked before the value is decoded, which takes memory.
    if max_octets is not None and len(text) > (max_octets + 2) // 3 * 4:
        raise json_reader.FieldError("Value", f"has {len(text)} characters")
    try:
        return binascii.a2b_base64(text, strict_mode=True)
    except ValueError as error:
        raise json_reader.FieldError("Value", f"is no base64: {error}") from (
            error
        )
