"""Messages of the published etcd v3 JSON gateway, as far as they are used.

Octets travel as base64 text, which msgspec does for `bytes`. Numbers of 64
bits travel as text: requests declare them as `str`, answers are decoded
leniently into `int`. Members with default values may be left out.
"""

from __future__ import annotations

import msgspec

_MAX_OCTET = 255


class Header(msgspec.Struct):
    """Head of each answer: the revision of the store."""

    revision: int = 0


class GatewayKeyValue(msgspec.Struct):
    """A key in an answer."""

    key: bytes = b""
    value: bytes = b""
    mod_revision: int = 0


class RangeRequest(msgspec.Struct, omit_defaults=True):
    """Reads a key, or all from `key` up to but without `range_end`."""

    key: bytes
    range_end: bytes = b""
    limit: str = "0"


class RangeAnswer(msgspec.Struct):
    """The keys, in order."""

    header: Header
    kvs: list[GatewayKeyValue] = []


class CompareRequest(msgspec.Struct):
    """A condition: the key was last written at a revision, 0 for never."""

    key: bytes
    mod_revision: str
    target: str = "MOD"
    result: str = "EQUAL"


class PutRequest(msgspec.Struct, omit_defaults=True):
    """Writes a key."""

    key: bytes
    value: bytes
    lease: str = "0"


class DeleteRequest(msgspec.Struct):
    """Deletes a key."""

    key: bytes


class Operation(msgspec.Struct, omit_defaults=True):
    """One write of a transaction: exactly one member is set."""

    request_put: PutRequest | None = None
    request_delete_range: DeleteRequest | None = None


class TxnRequest(msgspec.Struct):
    """Writes all of `success` if all of `compare` hold."""

    compare: list[CompareRequest]
    success: list[Operation]


class TxnAnswer(msgspec.Struct):
    """Tells whether the conditions held."""

    header: Header
    succeeded: bool = False


class LeaseGrantRequest(msgspec.Struct):
    """Asks for a lease; its life is in seconds."""

    TTL: str


class LeaseRequest(msgspec.Struct):
    """Renews or revokes a lease."""

    ID: str


class LeaseAnswer(msgspec.Struct):
    """A lease; a life of 0 means that it has lapsed."""

    ID: int = 0
    TTL: int = 0


class LeaseKeepAliveAnswer(msgspec.Struct):
    """Frame of a stream that carries one `LeaseAnswer`."""

    result: LeaseAnswer


class WatchCreate(msgspec.Struct):
    """What to watch and from which revision."""

    key: bytes
    range_end: bytes
    start_revision: str


class WatchRequest(msgspec.Struct):
    """Opens a watch."""

    create_request: WatchCreate


class GatewayEvent(msgspec.Struct):
    """A key was written (`PUT`, the default) or deleted (`DELETE`)."""

    kv: GatewayKeyValue
    type: str = "PUT"


class WatchResult(msgspec.Struct):
    """A batch of events, or a word about the watch itself."""

    header: Header = msgspec.field(default_factory=Header)
    created: bool = False
    canceled: bool = False
    compact_revision: int = 0
    cancel_reason: str = ""
    events: list[GatewayEvent] = []


class WatchFrame(msgspec.Struct):
    """Frame of the stream of a watch."""

    result: WatchResult


def compute_range_end(prefix: str) -> bytes:
    """Returns the first key after all keys that begin with a prefix."""
    octets = prefix.encode().rstrip(bytes([_MAX_OCTET]))
    if not octets:
        # The gateway takes one zero octet for "no end".
        return b"\x00"
    return octets[:-1] + bytes([octets[-1] + 1])
