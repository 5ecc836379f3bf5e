"""Messages between hosts as octets; long ones are compressed."""

from __future__ import annotations

from typing import Any
from typing import Generic
from typing import TypeVar
import zlib

import msgspec

from persimmonhinge.forwarding.peers import messages

M = TypeVar("M", bound=msgspec.Struct)

# Messages of more octets than this are compressed: those that fit into one
# packet anyway gain nothing.
_MAX_UNCOMPRESSED_OCTETS = 1_000
# The fastest level of zlib.
_COMPRESSION_LEVEL = 1
# Octets of a message that was compressed: a value of the store takes up to a
# megabyte, and the entries of all upstreams as much.
_MAX_DECOMPRESSED_OCTETS = 4_000_000


class MessageCodec(Generic[M]):
    """Writes and reads messages of one type or of a union of types.

    Guards against a host that fills its own link with what it tells others:
    the host that follows the store for 24 others sends each of them a changed
    desired state, 200 KB over a link of 5 Mbit/s, and what it forwards
    meanwhile comes 0.3 s late, so that it doubts all upstreams.
    """

    def __init__(self, message_type: Any) -> None:
        """Makes a codec.

        Args:
            message_type: The type of messages, or the union of types.
        """
        self._encoder = msgspec.msgpack.Encoder()
        self._uncompressed_decoder = msgspec.msgpack.Decoder(message_type)
        self._decoder = msgspec.msgpack.Decoder(
            message_type | messages.CompressedMessage
        )

    def encode(self, message: M) -> bytes:
        """Writes a message, compressed if it is long."""
        octets = self._encoder.encode(message)
        if len(octets) <= _MAX_UNCOMPRESSED_OCTETS:
            return octets
        packed = messages.CompressedMessage(
            zlib.compress(octets, _COMPRESSION_LEVEL)
        )
        return self._encoder.encode(packed)

    def decode(self, octets: bytes | bytearray) -> M:
        """Reads a message.

        Raises:
            msgspec.MsgspecError: It can't be read.
        """
        message = self._decoder.decode(octets)
        if isinstance(message, messages.CompressedMessage):
            return self._uncompressed_decoder.decode(
                _decompress(message.octets)
            )
        return message


SNAPSHOT_CODEC: MessageCodec[messages.Snapshot] = MessageCodec(
    messages.Snapshot
)


def _decompress(octets: bytes) -> bytes:
    """Returns what was compressed.

    Guards against a few octets that stand for more than memory holds.
    """
    stream = zlib.decompressobj()
    try:
        found = stream.decompress(octets, _MAX_DECOMPRESSED_OCTETS)
    except zlib.error as error:
        raise msgspec.DecodeError(f"not compressed: {error}") from error
    if not stream.eof:
        raise msgspec.DecodeError(
            f"cut short, or over {_MAX_DECOMPRESSED_OCTETS} octets"
        )
    return found
