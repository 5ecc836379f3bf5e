"""Encodes heartbeat datagrams as msgpack, preceded by an HMAC."""

from __future__ import annotations

import dataclasses
import enum
import hashlib
import hmac

import msgspec

from persimmonhinge import errors
from persimmonhinge.membership import messages  # Registers message kinds.
from persimmonhinge.membership import record as record_module
from persimmonhinge.peers.messages import base

MAX_DATAGRAM_OCTETS = 1400
_UNSIGNED_PREFIX = b"\x01"
_SIGNED_PREFIX = b"\x02"
_HMAC_OCTETS = 16

assert messages is not None


class RefusalCause(enum.Enum):
    """Why a datagram was refused.

    TOO_LONG: The datagram exceeds the maximum length that hosts send.
    UNSIGNED: The datagram has no HMAC although this host has a secret.
    BAD_SIGNATURE: The HMAC was made with another secret, or the datagram was
        modified.
    MALFORMED: The datagram is not a valid heartbeat.
    """

    TOO_LONG = "too-long"
    UNSIGNED = "unsigned"
    BAD_SIGNATURE = "bad-signature"
    MALFORMED = "malformed"


class RefusedDatagramError(errors.PeerProtocolError):
    """A received heartbeat datagram was refused.

    Attributes:
        cause: Why the datagram was refused.
    """

    def __init__(self, cause: RefusalCause) -> None:
        super().__init__(f"datagram is {cause.value}", step="read heartbeat")
        self.cause = cause


class _Envelope(msgspec.Struct, array_like=True, frozen=True):
    kind: str
    sender: record_module.Record
    other_records: tuple[record_module.Record, ...]
    body: msgspec.Raw


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """The decoded content of one heartbeat datagram.

    Attributes:
        sender: Record of the host that sent the datagram.
        other_records: Gossiped records of other hosts.
        message: The message; None if its kind is unknown because the sender
            runs a newer version.
    """

    sender: record_module.Record
    other_records: tuple[record_module.Record, ...]
    message: base.Message | None


class DatagramCodec:
    """Encodes and decodes datagrams, authenticated by a shared secret."""

    def __init__(self, secret: bytes | None) -> None:
        """Creates a codec.

        Args:
            secret: Secret of the deployment; None for heartbeats without
                authentication.
        """
        self._secret = secret
        self._encoder = msgspec.msgpack.Encoder()
        self._envelope_decoder = msgspec.msgpack.Decoder(_Envelope)

    def encode(self, heartbeat: Heartbeat) -> bytes:
        """Returns the datagram for a heartbeat whose message is not None."""
        assert heartbeat.message is not None
        envelope = _Envelope(
            base.get_kind(heartbeat.message),
            heartbeat.sender,
            heartbeat.other_records,
            msgspec.Raw(self._encoder.encode(heartbeat.message)),
        )
        payload = self._encoder.encode(envelope)
        if self._secret is None:
            return _UNSIGNED_PREFIX + payload
        return _SIGNED_PREFIX + self._sign(payload) + payload

    def decode(self, data: bytes) -> Heartbeat:
        """Returns the heartbeat that a datagram contains.

        Raises:
            RefusedDatagramError: The datagram is too long, not authentic or
                malformed.
        """
        if len(data) > MAX_DATAGRAM_OCTETS:
            raise RefusedDatagramError(RefusalCause.TOO_LONG)
        payload = self._verify_payload(data)
        try:
            envelope = self._envelope_decoder.decode(payload)
            message_type = base.find_type(envelope.kind)
            message = None
            if message_type is not None:
                message = msgspec.msgpack.decode(
                    envelope.body, type=message_type
                )
        except (msgspec.MsgspecError, RecursionError) as error:
            raise RefusedDatagramError(RefusalCause.MALFORMED) from error
        return Heartbeat(envelope.sender, envelope.other_records, message)

    def measure_record(self, record: record_module.Record) -> int:
        """Returns the encoded size of a record, octets."""
        return len(self._encoder.encode(record))

    def _verify_payload(self, data: bytes) -> bytes:
        if self._secret is None:
            if data[:1] != _UNSIGNED_PREFIX:
                raise RefusedDatagramError(RefusalCause.MALFORMED)
            return data[1:]
        if data[:1] != _SIGNED_PREFIX:
            raise RefusedDatagramError(RefusalCause.UNSIGNED)
        tag = data[1 : 1 + _HMAC_OCTETS]
        payload = data[1 + _HMAC_OCTETS :]
        if not hmac.compare_digest(tag, self._sign(payload)):
            raise RefusedDatagramError(RefusalCause.BAD_SIGNATURE)
        return payload

    def _sign(self, payload: bytes) -> bytes:
        assert self._secret is not None
        digest = hmac.digest(self._secret, payload, hashlib.sha256)
        return digest[:_HMAC_OCTETS]
