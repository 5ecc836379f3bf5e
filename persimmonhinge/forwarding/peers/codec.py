"""Encodes and decodes messages between hosts; compresses long ones."""

from __future__ import annotations

from typing import Any
from typing import Generic
from typing import TypeVar
import zlib

import msgspec

from persimmonhinge.forwarding.peers import messages

M = TypeVar("M", bound=msgspec.Struct)

# Maximum size of a message that is sent uncompressed, octets: compressing a
# message that fits into one packet anyway gains nothing.
_MAX_UNCOMPRESSED_OCTETS = 1_000
# The fastest compression level of zlib.
_COMPRESSION_LEVEL = 1
# Maximum size of a message after decompression, octets: a value of the store
# takes up to a megabyte, and the entries of all upstreams take as much.
_MAX_DECOMPRESSED_OCTETS = 4_000_000


class MessageCodec(Generic[M]):
    """Encodes and decodes messages of one type or of a union of types.

    Compression keeps a host from saturating its own link with updates: without
    it, a host that follows the store for 24 others sends them copies of a
    changed desired state, 200 KB in total, over a link of 5 Mbit/s. This delays
    the packets that it forwards by 0.3 s, so that it suspects all upstreams.
    """

    def __init__(self, message_type: Any) -> None:
        """Initializes the codec.

        Args:
            message_type: The type of the messages, or the union of their types.
        """
        self._encoder = msgspec.msgpack.Encoder()
        self._uncompressed_decoder = msgspec.msgpack.Decoder(message_type)
        self._decoder = msgspec.msgpack.Decoder(
            message_type | messages.CompressedMessage
        )

    def encode(self, message: M) -> bytes:
        """Encodes a message; compresses it if it is long."""
        octets = self._encoder.encode(message)
        if len(octets) <= _MAX_UNCOMPRESSED_OCTETS:
            return octets
        compressed = messages.CompressedMessage(
            zlib.compress(octets, _COMPRESSION_LEVEL)
        )
        return self._encoder.encode(compressed)

    def decode(self, octets: bytes | bytearray) -> M:
        """Decodes a message.

        Raises:
            msgspec.MsgspecError: The octets are no valid message.
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
    """Returns the decompressed octets.

    The size limit keeps a small message from exhausting memory when it is
    decompressed.

    Raises:
        msgspec.DecodeError: The octets are no complete zlib stream, or exceed
            the limit when decompressed.
    """
    stream = zlib.decompressobj()
    try:
        decompressed = stream.decompress(octets, _MAX_DECOMPRESSED_OCTETS)
    except zlib.error as error:
        raise msgspec.DecodeError(
            f"message is not valid zlib data: {error}"
        ) from error
    if not stream.eof:
        raise msgspec.DecodeError(
            f"message is truncated or exceeds {_MAX_DECOMPRESSED_OCTETS} octets"
        )
    return decompressed
