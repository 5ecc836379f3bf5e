"""The calls of the platform's stand-in, as the JSON gateway has them."""

from __future__ import annotations

import base64
from collections.abc import Callable
from typing import Any

from persimmonhinge import registry
from tests.standins import platform_leases
from tests.standins import platform_store

Body = dict[str, Any]


class GatewayError(Exception):
    """A call is refused with an HTTP status and a text."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class Gateway:
    """Answers calls on the store; `counts` holds calls by kind."""

    def __init__(self) -> None:
        self.store = platform_store.Store()
        self.leases = platform_leases.Leases(self.store)
        self.counts: dict[str, int] = {}

    def count(self, path: str) -> None:
        """Counts a call; a watch counts once, however long it waits."""
        kind = path.removeprefix("/v3/").removeprefix("kv/").replace("/", "_")
        self.counts[kind] = self.counts.get(kind, 0) + 1

    def answer(self, path: str, body: Body) -> Body:
        """Runs a call that has a single answer.

        Raises:
            GatewayError: It is refused.
        """
        self.leases.expire()
        if path not in CALLS.names():
            raise GatewayError(404, "no such call")
        return CALLS.get(path)(self, body)

    def head(self) -> Body:
        """Returns the head of an answer."""
        return {"cluster_id": "1", "revision": str(self.store.revision)}

    def holds(self, compare: Body) -> bool:
        """Tells whether a condition of a transaction holds."""
        if compare.get("target") != "MOD" or compare.get("result") != "EQUAL":
            raise GatewayError(400, "the stand-in compares mod_revision only")
        entry = self.store.get(decode(compare["key"]))
        wanted = int(compare.get("mod_revision", 0))
        return (entry.mod_revision if entry else 0) == wanted


CALLS: registry.Registry[Callable[[Gateway, Body], Body]] = registry.Registry(
    "call"
)
SORT_KEYS = {
    "KEY": lambda entry: entry.key,
    "VERSION": lambda entry: entry.version,
    "CREATE": lambda entry: entry.create_revision,
    "MOD": lambda entry: entry.mod_revision,
    "VALUE": lambda entry: entry.value,
}


@CALLS.register("/v3/kv/range")
def answer_range(gateway: Gateway, body: Body) -> Body:
    """Reads a key or a range."""
    entries = gateway.store.select(
        decode(body["key"]), decode(body.get("range_end", ""))
    )
    if body.get("sort_order", "NONE") != "NONE":
        entries.sort(
            key=SORT_KEYS[body.get("sort_target", "KEY")],
            reverse=body["sort_order"] == "DESCEND",
        )
    limit = int(body.get("limit", 0))
    chosen = entries[:limit] if limit else entries
    answer: Body = {"header": gateway.head()}
    if chosen:
        answer["kvs"] = [encode_entry(entry) for entry in chosen]
        answer["count"] = str(len(entries))
    if len(chosen) < len(entries):
        answer["more"] = True
    return answer


@CALLS.register("/v3/kv/txn")
def answer_txn(gateway: Gateway, body: Body) -> Body:
    """Runs `success` if all conditions hold, else `failure`."""
    compares = body.get("compare", [])
    succeeded = all([gateway.holds(compare) for compare in compares])
    operations = body.get("success" if succeeded else "failure", [])
    if operations:
        write_all(gateway, operations)
    answer: Body = {"header": gateway.head()}
    if succeeded:
        answer["succeeded"] = True
    return answer


@CALLS.register("/v3/kv/compaction")
def answer_compaction(gateway: Gateway, body: Body) -> Body:
    """Forgets old changes."""
    gateway.store.compact(int(body["revision"]))
    return {"header": gateway.head()}


@CALLS.register("/v3/lease/grant")
def answer_grant(gateway: Gateway, body: Body) -> Body:
    """Grants a lease."""
    life_s = int(body["TTL"])
    lease = gateway.leases.grant(life_s)
    return {"header": gateway.head(), "ID": str(lease), "TTL": str(life_s)}


@CALLS.register("/v3/lease/keepalive")
def answer_keep(gateway: Gateway, body: Body) -> Body:
    """Renews a lease; a life of 0, left out, means that it has lapsed."""
    result: Body = {"header": gateway.head(), "ID": body["ID"]}
    life_s = gateway.leases.keep(int(body["ID"]))
    if life_s:
        result["TTL"] = str(life_s)
    return {"result": result}


@CALLS.register("/v3/lease/revoke")
def answer_revoke(gateway: Gateway, body: Body) -> Body:
    """Ends a lease."""
    if not gateway.leases.revoke(int(body["ID"])):
        raise GatewayError(404, "etcdserver: requested lease not found")
    return {"header": gateway.head()}


def write_all(gateway: Gateway, operations: list[Body]) -> None:
    """Runs the writes of a transaction at one revision."""
    puts = [o["request_put"] for o in operations if "request_put" in o]
    for put in puts:
        lease = int(put.get("lease", 0))
        if lease and not gateway.leases.exists(lease):
            raise GatewayError(404, "etcdserver: requested lease not found")
    keys = [next(iter(operation.values()))["key"] for operation in operations]
    if len(set(keys)) != len(keys):
        raise GatewayError(400, "etcdserver: duplicate key given in txn")
    revision = gateway.store.begin()
    for operation in operations:
        if "request_put" in operation:
            put = operation["request_put"]
            gateway.store.put(
                revision,
                decode(put["key"]),
                decode(put.get("value", "")),
                int(put.get("lease", 0)),
            )
        else:
            key = operation["request_delete_range"]["key"]
            gateway.store.delete(revision, decode(key))
    gateway.store.end()


def decode(text: str) -> bytes:
    """Reads octets."""
    return base64.b64decode(text)


def encode(octets: bytes) -> str:
    """Writes octets."""
    return base64.b64encode(octets).decode()


def encode_entry(entry: platform_store.Entry) -> Body:
    """Writes a key; numbers of 64 bits as text."""
    body: Body = {
        "key": encode(entry.key),
        "create_revision": str(entry.create_revision),
        "mod_revision": str(entry.mod_revision),
        "version": str(entry.version),
    }
    if entry.value:
        body["value"] = encode(entry.value)
    if entry.lease:
        body["lease"] = str(entry.lease)
    return body


def encode_event(event: platform_store.Event) -> Body:
    """Writes an event of a watch; a type left out is a write."""
    if event.entry is not None:
        return {"kv": encode_entry(event.entry)}
    kv = {"key": encode(event.key), "mod_revision": str(event.revision)}
    return {"type": "DELETE", "kv": kv}
