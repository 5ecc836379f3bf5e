"""A store whose answers a test writes, and a host's client of it."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import json
from typing import Any

from persimmonhinge.forwarding import entry_replica
from persimmonhinge.forwarding import knowledge
from persimmonhinge.forwarding import refusals
from persimmonhinge.metrics import counts
from persimmonhinge.platform import adapter
from persimmonhinge.platform import store_reader
from persimmonhinge.store import blocking_transport
from persimmonhinge.store import port

# Returns the body of the answer to a call.
Answer = Callable[[str], bytes]


class Transport:
    """Carries calls to a function; see `transport.Transport`."""

    def __init__(self, answer: Answer) -> None:
        self._answer = answer
        self._octets = b""

    async def open(self) -> None:
        """See `transport.Transport`."""

    async def send_all(self, octets: bytes) -> None:
        """See `transport.Transport`."""
        body = self._answer(octets.split(b" ")[1].decode())
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        self._octets = head.encode() + body

    async def receive_some(self) -> bytes:
        """See `transport.Transport`."""
        return self._octets

    async def run_within(
        self, limit_s: float, work: Callable[[], Awaitable[Any]]
    ) -> Any:
        """See `transport.Transport`."""
        return await work()

    def close(self) -> None:
        """See `transport.Transport`."""


class ScriptedHost:
    """A host's replica that reads a store's answers.

    Attributes:
        targets: Paths and queries of the calls so far.
    """

    def __init__(self, answer: Answer) -> None:
        """Creates a host that knows nothing.

        Args:
            answer: Returns the body of the answer to a path and query.
        """
        self.counts = counts.Counts()
        self.knowledge = knowledge.Knowledge(60.0, 2.2)
        self.entries = entry_replica.EntryReplica(
            adapter.EntryFormat(), self.knowledge, self.counts
        )
        self.targets: list[str] = []
        self._answer = answer
        self.client = self._make_client(refusals.Refusals(self.counts))
        self.strict_client = self._make_client(None)

    def _make_client(
        self, record: refusals.Refusals | None
    ) -> store_reader.StoreReader:
        return adapter.make_reader(
            ("127.0.0.1:1",),
            lambda host, number: Transport(self._record_call),
            1.0,
            refusals=record,
            knows_entries=lambda: bool(
                self.entries.make_snapshot(0, ()).entries
            ),
        )

    def _record_call(self, target: str) -> bytes:
        self.targets.append(target)
        return self._answer(target)

    def read_all(self) -> int:
        """Reads all entries."""
        return blocking_transport.run(self.entries.read_all(self.client))

    def read_prefix(self) -> port.PrefixState:
        """Returns all items that a host keeps."""
        return blocking_transport.run(self.client.get_prefix(""))

    def watch_once(self) -> tuple[port.WatchEvent, ...]:
        """Returns and applies the events of one answer to a watch."""

        async def watch() -> tuple[port.WatchEvent, ...]:
            async with self.client.watch("", 1) as batches:
                return await anext(batches)

        batch = blocking_transport.run(watch())
        self.entries.apply_batch(batch)
        return batch

    def count_refused(self) -> float:
        """Returns how many answers or items were refused."""
        return self.counts.get("inputs_refused_total", source="store-answer")


def make_host(*bodies: bytes) -> ScriptedHost:
    """Returns a host of a store that answers in turn, then as the last time."""
    left = list(bodies)
    return ScriptedHost(lambda _: left.pop(0) if len(left) > 1 else left[0])


def encode(document: object) -> bytes:
    """Returns a document as the body of an answer."""
    return json.dumps(document).encode()


def make_page(*items: object, **fields: object) -> bytes:
    """Returns the body of a page."""
    return encode({"items": items, "CurrentRev": 9, "HasMore": False, **fields})


def make_news(*events: object, **fields: object) -> bytes:
    """Returns the body of an answer to a watch."""
    return encode({"events": events, "CurrentRev": 9, **fields})
