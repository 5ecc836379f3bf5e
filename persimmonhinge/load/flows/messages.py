"""What callers and upstreams of test flows say to each other, as msgpack."""

from __future__ import annotations

import msgspec


class FlowRequest(msgspec.Struct, frozen=True, array_like=True):
    """A request within a flow.

    Attributes:
        key: Its key, the same for each further try.
        service: Name of the service that it is meant for.
        attempt: Number of the try. Guards against a late copy of a refusal
            that is taken for one of the next try in the same flow: that one
            runs, and the caller would try once more.
    """

    key: str
    service: str
    attempt: int = 0


class FlowAnswer(msgspec.Struct, frozen=True, array_like=True):
    """The answer of an upstream.

    Attributes:
        key: Key of the request.
        upstream: Id of the upstream.
        has_run: False if the upstream refused to run it.
        attempt: Number of the try that it answers.
    """

    key: str
    upstream: str
    has_run: bool
    attempt: int = 0
