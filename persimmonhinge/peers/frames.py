"""Frames: how messages travel on a link."""

from __future__ import annotations

from collections.abc import Iterator
import enum
from typing import TypeVar

import msgpack  # type: ignore[import-untyped]
import msgspec

from persimmonhinge import errors
from persimmonhinge.peers.messages import base

M = TypeVar("M", bound=base.Message)

LOWEST_VERSION = 1
HIGHEST_VERSION = base.VERSION

# The largest message is a body of 4 MiB, the most that a contract allows.
MAX_FRAME_OCTETS = 8 * 1024 * 1024
# A stranger's first frame gets no more memory than a hello needs.
MAX_HELLO_OCTETS = 4096
# A header of a few octets could else ask for an array of any length.
MAX_ITEMS = 65_536
# Room for a frame of the largest size beside one read from the socket.
_BUFFER_OCTETS = MAX_FRAME_OCTETS + 1024 * 1024
_FIELD_COUNT = 5
_MOST_KIND_CHARACTERS = 64
# Else msgspec takes text for bytes, as base64.
_NATIVE_TYPES = (bytes,)


class FrameKind(enum.IntEnum):
    """What a frame is for.

    HELLO: The first frame both ways.
    SEND: A message without an answer.
    CALL: Opens a call.
    ANSWER: The answer of a call, which ends it.
    PUSH: One more message on a call, either way.
    CLOSE: Ends a call without an answer.
    REFUSE: Ends a call, or with call id 0 the link, with a cause.
    PING: Asks for a sign of life.
    PONG: Gives it.
    """

    HELLO = 0
    SEND = 1
    CALL = 2
    ANSWER = 3
    PUSH = 4
    CLOSE = 5
    REFUSE = 6
    PING = 7
    PONG = 8


class MalformedCause(enum.Enum):
    """What is wrong with a frame.

    ENCODING: It is not msgpack, or nests too deep or holds too many items.
    SIZE: It is too large.
    SHAPE: It is not an array of the five fields.
    VERSION: It is of a version that was not agreed on.
    BODY: Its body does not fit its message kind.
    STATE: It may not come here or now.
    """

    ENCODING = "encoding"
    SIZE = "size"
    SHAPE = "shape"
    VERSION = "version"
    BODY = "body"
    STATE = "state"


class MalformedFrameError(errors.PeerProtocolError):
    """A frame that came or was to be written is wrong.

    Attributes:
        cause: What is wrong.
    """

    def __init__(
        self, cause: MalformedCause, text: str, *, step: str, peer: str = ""
    ) -> None:
        super().__init__(f"{cause.value}: {text}", step=step, peer=peer)
        self.cause = cause


_KINDS = {kind.value: kind for kind in FrameKind}


class Frame(msgspec.Struct, frozen=True):
    """One frame as it was read; its body is not checked yet.

    Attributes:
        version: Frame version of the writer.
        kind: What it is for; None for a kind of a newer version.
        call: Number of the call that it belongs to; 0 for none.
        message_kind: Kind of the message; empty for none.
        body: Fields of the message.
    """

    version: int
    kind: FrameKind | None
    call: int
    message_kind: str
    body: list[object]


class FrameWriter:
    """Writes frames of one version."""

    def __init__(self, version: int = HIGHEST_VERSION) -> None:
        self._version = version
        self._packer = msgpack.Packer(use_bin_type=True)

    def write(
        self, kind: FrameKind, call: int, message: base.Message | None = None
    ) -> bytes:
        """Returns a frame.

        Raises:
            PeerProtocolError: The message can't be written or is too large;
                nothing was sent.
        """
        name = "" if message is None else base.get_kind(message)
        try:
            body = () if message is None else _to_fields(message)
            data = self._packer.pack((self._version, kind, call, name, body))
        except (TypeError, ValueError, OverflowError) as error:
            self._packer.reset()
            raise MalformedFrameError(
                MalformedCause.BODY, f"{name}: {error}", step="write frame"
            ) from error
        if len(data) > MAX_FRAME_OCTETS:
            text = f"{name} has {len(data)} octets"
            raise MalformedFrameError(
                MalformedCause.SIZE, text, step="write frame"
            )
        return data


class FrameReader:
    """Cuts a stream of octets into frames.

    Attributes:
        peer: Name or address of the other side, for errors.
        most_octets: Largest frame that is accepted.
    """

    def __init__(
        self, peer: str, *, most_octets: int = MAX_FRAME_OCTETS
    ) -> None:
        self.peer = peer
        self.most_octets = most_octets
        self._fed_octets = 0
        self._read_octets = 0
        self._unpacker = msgpack.Unpacker(
            max_buffer_size=_BUFFER_OCTETS,
            max_array_len=MAX_ITEMS,
            max_map_len=MAX_ITEMS,
            max_ext_len=0,
        )

    def read(self, data: bytes) -> Iterator[Frame]:
        """Yields the frames that are complete after some more octets.

        Raises:
            PeerProtocolError: The octets are not a frame; frames before
                them have been yielded.
        """
        self._fed_octets += len(data)
        try:
            self._unpacker.feed(data)
            for fields in self._unpacker:
                end = self._unpacker.tell()
                self._check_size(end - self._read_octets)
                self._read_octets = end
                yield self._make_frame(fields)
        except (ValueError, msgpack.UnpackException) as error:
            text = f"{type(error).__name__} {error}"
            raise self._make_error(MalformedCause.ENCODING, text) from error
        # The unpacker limits only what it has not parsed. A frame of many
        # small items is parsed as it comes: without this check it would grow
        # in memory without end.
        self._check_size(self._fed_octets - self._read_octets)

    def _check_size(self, octets: int) -> None:
        if octets > self.most_octets:
            text = f"above {self.most_octets} octets"
            raise self._make_error(MalformedCause.SIZE, text)

    def _make_frame(self, fields: object) -> Frame:
        if type(fields) is not list or len(fields) < _FIELD_COUNT:
            raise self._make_error(MalformedCause.SHAPE, "not an array of 5")
        version, kind, call, name, body = fields[:_FIELD_COUNT]
        if type(version) is not int or type(kind) is not int:
            raise self._make_error(MalformedCause.SHAPE, "version or kind")
        if type(call) is not int or call < 0:
            raise self._make_error(MalformedCause.SHAPE, "call")
        if type(name) is not str or len(name) > _MOST_KIND_CHARACTERS:
            raise self._make_error(MalformedCause.SHAPE, "message kind")
        if type(body) is not list:
            raise self._make_error(MalformedCause.SHAPE, "body")
        if not LOWEST_VERSION <= version <= HIGHEST_VERSION:
            raise self._make_error(MalformedCause.VERSION, str(version))
        return Frame(version, _KINDS.get(kind), call, name, body)

    def _make_error(
        self, cause: MalformedCause, text: str
    ) -> MalformedFrameError:
        return MalformedFrameError(
            cause, text, step="read frame", peer=self.peer
        )


def read_message(frame: Frame, peer: str) -> base.Message | None:
    """Returns the message of a frame, None if its kind is not known here.

    Raises:
        PeerProtocolError: The body does not fit the message's class.
    """
    message_type = base.find_type(frame.message_kind)
    if message_type is None:
        return None
    return read_body(frame, message_type, peer)


def read_body(frame: Frame, message_type: type[M], peer: str) -> M:
    """Returns the message of a frame that is to be of one class.

    Raises:
        PeerProtocolError: The body does not fit the class.
    """
    try:
        return msgspec.convert(
            frame.body,
            message_type,
            strict=True,
            builtin_types=_NATIVE_TYPES,
        )
    except (msgspec.ValidationError, RecursionError) as error:
        text = f"{frame.message_kind}: {error}"
        raise MalformedFrameError(
            MalformedCause.BODY, text, step="read message", peer=peer
        ) from error


def _to_fields(message: base.Message) -> object:
    return msgspec.to_builtins(message, builtin_types=_NATIVE_TYPES)
