"""Encodes and decodes messages between hosts; compresses long ones."""

from __future__ import annotations

from typing import Any
from typing import Generic
from typing import TypeVar
import zlib

import msgspec

from persimmonhinge import errors
from persimmonhinge.forwarding.peers import message_checks
from persimmonhinge.forwarding.peers import message_limits
from persimmonhinge.forwarding.peers import messages

M = TypeVar("M", bound=msgspec.Struct)

# Maximum size of a message that is sent uncompressed, octets: compressing a
# message that fits into one packet anyway gains nothing.
_MAX_UNCOMPRESSED_OCTETS = 1_000
# The fastest compression level of zlib.
_COMPRESSION_LEVEL = 1
_DECODING_STEP = "decode message"
# What decoders raise: members nested too deep raise RecursionError, even where
# a type has no such member, as in messages of later releases. Lengths that
# exceed the memory raise MemoryError.
_DECODING_ERRORS = (
    msgspec.MsgspecError,
    zlib.error,
    RecursionError,
    MemoryError,
    OverflowError,
    ValueError,
)


class MessageCodec(Generic[M]):
    """Encodes and decodes messages of one type or of a union of types.

    Compression keeps a host from saturating its own link with updates: without
    it, a host that follows the store for 24 others sends them copies of a
    changed desired state, 200 KB in total, over a link of 5 Mbit/s. This delays
    the packets that it forwards by 0.3 s, so that it suspects all upstreams.
    """

    def __init__(
        self,
        message_type: Any,
        max_octets: int = message_limits.MAX_SNAPSHOT_OCTETS,
    ) -> None:
        """Initializes the codec.

        Args:
            message_type: The type of the messages, or the union of their types.
            max_octets: Maximum length of a message after decompression, octets.
        """
        self._max_octets = max_octets
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
            MalformedMessageError: The octets are no valid message, or one of
                its values is out of range.
        """
        try:
            message = self._decoder.decode(octets)
            if isinstance(message, messages.CompressedMessage):
                message = self._uncompressed_decoder.decode(
                    _decompress(message.octets, self._max_octets)
                )
        except _DECODING_ERRORS as error:
            raise _make_error(error) from error
        message_checks.check_message(message)
        return message


SNAPSHOT_CODEC: MessageCodec[messages.Snapshot] = MessageCodec(
    messages.Snapshot
)
REQUEST_CODEC: MessageCodec[messages.PullRequest] = MessageCodec(
    messages.PullRequest
)


def _make_error(error: Exception) -> errors.MalformedMessageError:
    """Returns the error of a message for an error of a decoder.

    The decoder ends its messages with the path of a member, as in
    `Expected `int`, got `str` - at `$[2]``.
    """
    reason, _, path = str(error).partition(" - at ")
    return errors.MalformedMessageError(
        reason or type(error).__name__,
        step=_DECODING_STEP,
        field=path.strip("`"),
    )


def _decompress(octets: bytes, max_octets: int) -> bytes:
    """Returns the decompressed octets.

    The size limit keeps a small message from exhausting memory when it is
    decompressed.

    Raises:
        zlib.error: The octets are no zlib stream.
        msgspec.DecodeError: The octets are no complete zlib stream, or exceed
            the limit when decompressed.
    """
    stream = zlib.decompressobj()
    decompressed = stream.decompress(octets, max_octets)
    if not stream.eof:
        raise msgspec.DecodeError(
            f"message is truncated or exceeds {max_octets} octets"
        )
    return decompressed
