"""The calls of the platform's stand-in, as the users' store has them."""

from __future__ import annotations

import base64
from collections.abc import Callable
from typing import Any

from persimmonhinge import registry
from tests.standins import platform_leases
from tests.standins import platform_store

Body = dict[str, Any]

MOST_ENTRIES = 32
PAGE_ITEMS = 500
_MOST_KEY_OCTETS = 200


class GatewayError(Exception):
    """A call is refused with an HTTP status and a text.

    Attributes:
        status: The status.
        body: Further members of the answer.
    """

    def __init__(
        self, status: int, text: str, body: Body | None = None
    ) -> None:
        super().__init__(text)
        self.status = status
        self.body = body or {}


class Gateway:
    """Answers calls on the store; `counts` holds calls by kind."""

    def __init__(self) -> None:
        self.store = platform_store.Store()
        self.leases = platform_leases.Leases(self.store)
        self.counts: dict[str, int] = {}

    def count(self, path: str) -> None:
        """Counts a call; a watch counts once, however long it waits."""
        kind = path.strip("/").partition("/")[0].removeprefix("kv-")
        self.counts[kind] = self.counts.get(kind, 0) + 1

    def answer(self, call: str, query: dict[str, str], body: Body) -> Body:
        """Runs a call that does not wait.

        Args:
            call: Method and path.
            query: Parameters of the query.
            body: The body; empty if there is none.

        Raises:
            GatewayError: It is refused.
        """
        self.leases.expire()
        name, argument = _split(call)
        if name not in CALLS.names():
            raise GatewayError(404, f"no such call: {call}")
        return CALLS.get(name)(self, {**query, **body, "argument": argument})

    def select_events(
        self, prefix: str, after: int
    ) -> list[platform_store.Event]:
        """Returns the changes of a prefix after a revision.

        Raises:
            GatewayError: They are no longer there.
        """
        if after < self.store.compacted:
            text = f"compacted up to revision {self.store.compacted}"
            raise GatewayError(410, text)
        return [
            event
            for event in self.store.events_from(after + 1)
            if event.key.startswith(prefix.encode())
        ]


CALLS: registry.Registry[Callable[[Gateway, Body], Body]] = registry.Registry(
    "call"
)


@CALLS.register("GET /kv-key")
def answer_key(gateway: Gateway, body: Body) -> Body:
    """Reads a key."""
    entry = gateway.store.get(body["Key"].encode())
    if entry is None:
        raise GatewayError(404, "no such key")
    return {**encode_entry(entry), "CurrentRev": gateway.store.revision}


@CALLS.register("GET /kv-range")
def answer_range(gateway: Gateway, body: Body) -> Body:
    """Reads a page of a prefix."""
    after = body.get("after", "").encode()
    prefix = body["Prefix"].encode()
    entries = [
        entry
        for entry in gateway.store.select(prefix, prefix + b"\xff")
        if entry.key > after
    ]
    page = entries[:PAGE_ITEMS]
    return {
        "items": [encode_entry(entry) for entry in page],
        "HasMore": len(page) < len(entries),
        "CurrentRev": gateway.store.revision,
    }


@CALLS.register("POST /kv-txn")
def answer_txn(gateway: Gateway, body: Body) -> Body:
    """Writes and deletes all if all conditions hold."""
    check_size(body)
    conditions = body["Precondition"]
    if not all([holds(gateway, condition) for condition in conditions]):
        keys = [condition["Key"].encode() for condition in conditions]
        entries = [gateway.store.get(key) for key in keys]
        items = [encode_entry(entry) for entry in entries if entry]
        raise GatewayError(412, "a condition failed", {"items": items})
    if body["Writes"] or body["Deletes"]:
        write_all(gateway, body["Writes"], body["Deletes"])
    return {"Revision": gateway.store.revision}


@CALLS.register("POST /kv-lease")
def answer_grant(gateway: Gateway, body: Body) -> Body:
    """Grants a lease."""
    length_ms = int(body["TtlMs"])
    lease = gateway.leases.grant(length_ms // 1000)
    return {"Lease": lease, "TtlMs": length_ms}


@CALLS.register("POST /kv-keep")
def answer_keep(gateway: Gateway, body: Body) -> Body:
    """Renews a lease."""
    life_s = gateway.leases.keep(int(body["argument"]))
    if not life_s:
        raise GatewayError(404, "the lease has ended")
    return {"TtlMs": life_s * 1000}


@CALLS.register("DELETE /kv-lease-end")
def answer_revoke(gateway: Gateway, body: Body) -> Body:
    """Ends a lease."""
    if not gateway.leases.revoke(int(body["argument"])):
        raise GatewayError(404, "no such lease")
    return {}


def holds(gateway: Gateway, condition: Body) -> bool:
    """Tells whether a condition of a transaction holds."""
    entry = gateway.store.get(condition["Key"].encode())
    found = entry.mod_revision if entry else 0
    return bool(found == condition["Revision"])


def check_size(body: Body) -> None:
    """Checks the limits of a transaction.

    Raises:
        GatewayError: It exceeds one, or names a key twice.
    """
    keys = [write["Key"] for write in body["Writes"]] + body["Deletes"]
    if len(set(keys)) != len(keys):
        raise GatewayError(400, "a key is given twice")
    if len(keys) + len(body["Precondition"]) > MOST_ENTRIES:
        raise GatewayError(400, f"more than {MOST_ENTRIES} entries")
    if any(len(key.encode()) > _MOST_KEY_OCTETS for key in keys):
        raise GatewayError(400, "a key is too long")
    if any(key.startswith(("op/", "servers/")) for key in keys):
        raise GatewayError(403, "not the system's to write")


def write_all(gateway: Gateway, writes: list[Body], keys: list[str]) -> None:
    """Runs the writes and deletes of a transaction at one revision."""
    for write in writes:
        lease = write.get("Lease", 0)
        if lease and not gateway.leases.exists(lease):
            raise GatewayError(404, "no such lease")
    revision = gateway.store.begin()
    for write in writes:
        gateway.store.put(
            revision,
            write["Key"].encode(),
            base64.b64decode(write["Value"]),
            write.get("Lease", 0),
        )
    for key in keys:
        gateway.store.delete(revision, key.encode())
    gateway.store.end()


def encode_entry(entry: platform_store.Entry) -> Body:
    """Writes a key."""
    return {
        "Key": entry.key.decode(),
        "Value": base64.b64encode(entry.value).decode(),
        "Revision": entry.mod_revision,
        "Created": entry.create_revision,
        "Lease": entry.lease,
    }


def encode_event(event: platform_store.Event) -> Body:
    """Writes an event of a watch."""
    if event.entry is not None:
        return encode_entry(event.entry)
    return {
        "Key": event.key.decode(),
        "Revision": event.revision,
        "Tombstone": True,
    }


def _split(call: str) -> tuple[str, str]:
    name, _, argument = call.rpartition("/")
    if name.endswith(" "):
        return call, ""
    return name, argument
