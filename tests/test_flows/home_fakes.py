"""A home with fakes of its dependencies."""

from __future__ import annotations

import base64
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import itertools
import json
from typing import Any

from aiocoap.numbers import codes
from aiocoap.numbers import types
import hypothesis
import trio

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.coap import codec
from persimmonhinge.contracts import contract
from persimmonhinge.contracts import store
from persimmonhinge.flows import home
from persimmonhinge.flows import port
from persimmonhinge.flows import replies
from persimmonhinge.keys import store as store_module
from persimmonhinge.membership import member as member_module
from persimmonhinge.membership import placement
from persimmonhinge.membership import view as view_module
from persimmonhinge.metrics import counts
from persimmonhinge.peers.messages import base
from persimmonhinge.peers.messages import control
from persimmonhinge.peers.messages import work
from persimmonhinge.settings import entry as entry_module

SERVICE = ids.ServiceName("floor-trading")
FLOW = port.Flow(SERVICE, ("127.0.0.1", 4001))
OTHER_FLOW = port.Flow(SERVICE, ("127.0.0.1", 4002))
ME = ids.HostId("entry-1")
KEEPERS = (ids.HostId("entry-2"), ids.HostId("entry-3"))

# On a busy machine generating the examples is slow, which is not a failure.
PROPERTY = hypothesis.settings(
    deadline=None,
    derandomize=True,
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)
CallHandler = Callable[[base.Message], Awaitable[base.Message]]


def make_settings(**flows: Any) -> entry_module.EntrySettings:
    return entry_module.EntrySettings.model_validate(
        {
            "host": ME,
            "domain": "north",
            "peers": {"port": 0, "heartbeat_port": 0},
            "platform": {"endpoints": ["http://127.0.0.1:1"]},
            "flows": flows,
        }
    )


def make_member(host: ids.HostId, incarnation: int = 1) -> member_module.Member:
    return member_module.Member(
        host,
        ids.DomainId("north"),
        "127.0.0.1",
        1,
        2,
        ids.Incarnation(incarnation),
    )


def make_contract() -> contract.Contract:
    upstreams = [
        {
            "id": f"target-{number}",
            "address": f"127.0.0.1:{7000 + number}",
            "domain": "north",
            "slots": 2,
        }
        for number in (1, 2)
    ]
    classes = [
        {"name": "prices", "method": "GET", "path": "/prices", "kind": "feed"},
        {"name": "lots", "method": "GET", "path": "/lots*"},
        {"name": "put", "method": "PUT", "path": "/lots*"},
        {"name": "reserve", "method": "POST", "path": "/reserve"},
    ]
    return contract.Contract.model_validate(
        {
            "service": SERVICE,
            "address": "127.0.0.1:5683",
            "upstreams": upstreams,
            "call_classes": classes,
            "limits": {"body_octets": 4096},
        }
    )


def make_key_record(revision: int = 1, **states: str) -> control.KeyRecord:
    """Returns a key ring; `key_7="current"` is the current key with id 7."""
    keys = [
        {
            "key_id": int(name.removeprefix("key_")),
            "secret": base64.b64encode(name.encode() * 8).decode(),
            "state": state,
        }
        for name, state in (states or {"key_1": "current"}).items()
    ]
    body = json.dumps({"keys": keys}).encode()
    return control.KeyRecord(ids.Revision(revision), body)


def make_request(
    code: codes.Code,
    path: str,
    *,
    token: bytes = b"\x01",
    mid: int = 1,
    mtype: types.Type = types.NON,
    payload: bytes = b"",
    echo: bytes | None = None,
) -> codec.Message:
    message = codec.Message(code=code, payload=payload)
    message.mtype, message.mid, message.token = mtype, mid, token
    message.opt.uri_path = tuple(path.strip("/").split("/"))
    if echo is not None:
        message.opt.echo = echo
    # Encoded and decoded, as it would be received from a caller.
    return codec.decode(codec.encode(message))


def encode_reply(
    payload: bytes, code: codes.Code = codes.Code.CHANGED
) -> bytes:
    reply = codec.Message(code=code, payload=payload)
    reply.mtype, reply.mid, reply.token = types.NON, 0, b""
    return codec.encode(reply)


def make_answered(payload: bytes) -> work.Dispatched:
    return work.Dispatched(work.Outcome.ANSWERED, encode_reply(payload))


async def answer_done(message: base.Message) -> base.Message:
    """Answers as a keeper whose upstream processed the request."""
    return make_answered(b"done")


class FakeCallerSender:
    """Records the messages that are sent to callers."""

    def __init__(self) -> None:
        self.sent: list[tuple[port.Flow, codec.Message]] = []
        self._message_ids = itertools.count(1000)

    def send(self, flow: port.Flow, message: codec.Message) -> None:
        """Records a message as a caller decodes it."""
        self.sent.append((flow, codec.decode(codec.encode(message))))

    def next_message_id(self, flow: port.Flow) -> int:
        """Returns a new message id."""
        return next(self._message_ids)


class FakeNetwork:
    """Records calls and passes them to a handler for each host."""

    def __init__(self) -> None:
        self.handlers: dict[ids.HostId, CallHandler] = {}
        self.calls: list[tuple[ids.HostId, base.Message]] = []

    async def call(
        self, host: ids.HostId, message: base.Message, timeout_s: float
    ) -> base.Message:
        """Passes a call to the handler of its host."""
        self.calls.append((host, message))
        if host not in self.handlers:
            raise errors.PeerUnreachableError("gone", step="call", peer=host)
        with trio.move_on_after(timeout_s):
            return await self.handlers[host](message)
        raise errors.PeerCallTimeoutError("late", step="call", peer=host)

    def dispatches(self) -> list[work.Dispatch]:
        """Returns the recorded calls that are dispatches."""
        return [m for _, m in self.calls if isinstance(m, work.Dispatch)]


class FakeChooser:
    """Chooses the first permitted upstream; each has its own keeper."""

    def __init__(self, view: view_module.View) -> None:
        self._view = view

    def choose(
        self,
        entry: store.ContractEntry,
        kind: contract.CallKind,
        *,
        exclude: frozenset[ids.UpstreamId] = frozenset(),
        keeper_refs: frozenset[ids.HostRef] | None = None,
    ) -> port.Choice | None:
        """Returns the first permitted choice."""
        for host, upstream in zip(
            KEEPERS, entry.contract.upstreams, strict=True
        ):
            member = self._view.get(host)
            if member is None or not member.accepts_roles:
                continue
            if keeper_refs is not None and member.ref not in keeper_refs:
                continue
            if ids.UpstreamId(upstream.id) not in exclude:
                return port.Choice(upstream, host, member.ref)
        return None

    def record_load(
        self, service: ids.ServiceName, load: work.UpstreamLoad
    ) -> None:
        """Ignores a load report."""

    def pick_keepers(
        self, entry: store.ContractEntry, count: int
    ) -> tuple[ids.HostRef, ...]:
        """Returns all keepers."""
        found = [self._view.get(host) for host in KEEPERS]
        return tuple(m.ref for m in found if m and m.accepts_roles)

    def record_start(self, *args: object) -> None:
        """Ignores the call."""

    def record_end(self, *args: object) -> None:
        """Ignores the call."""


class FakeFeeds:
    """Records the names of the methods that are called."""

    def __init__(self) -> None:
        self.calls: list[str] = []

    def open(self, *args: object) -> None:
        """Records the call."""
        self.calls.append("open")

    def close(self, flow: port.Flow, message: codec.Message) -> bool:
        """Records the call and reports an open feed."""
        self.calls.append("close")
        return True

    def read_state(
        self, flow: port.Flow, message: codec.Message
    ) -> codec.Message | None:
        """Returns a notification that is larger than one block."""
        return codec.Message(code=codes.Code.CONTENT, payload=b"p" * 3000)

    def acknowledge(self, flow: port.Flow, message_id: int) -> bool:
        """Records the call."""
        self.calls.append("acknowledge")
        return True

    def reset(self, flow: port.Flow, message_id: int) -> bool:
        """Records the call."""
        self.calls.append("reset")
        return True


class HomeWorld:
    """A home with fakes, and methods that act as its caller."""

    def __init__(
        self,
        me: ids.HostId = ME,
        make_chooser: Callable[[view_module.View], FakeChooser] = FakeChooser,
        **flows: Any,
    ) -> None:
        self.view = view_module.View(make_member(me))
        for host in KEEPERS:
            self.view.put(make_member(host))
        self.contracts = store.ContractStore()
        body = make_contract().model_dump_json().encode()
        self.contracts.offer(
            control.ContractRecord(SERVICE, ids.Revision(1), body)
        )
        self.keys = store_module.KeyStore()
        self.keys.offer(make_key_record())
        self.network = FakeNetwork()
        self.sender = FakeCallerSender()
        self.feeds = FakeFeeds()
        self.counts = counts.Counts()
        self.home = home.Home(
            make_settings(**flows),
            self.view,
            placement.Placement(self.view),
            self.contracts,
            self.keys,
            self.network,  # type: ignore[arg-type]
            self.sender,
            make_chooser(self.view),
            self.feeds,
            self.counts,
        )
        self._message_ids = itertools.count(1)

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Runs the home within the context."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self.home.run)
            yield
            nursery.cancel_scope.cancel()

    def handle_calls_with(self, handler: CallHandler) -> None:
        """Sets the handler of the calls to all keepers."""
        for host in KEEPERS:
            self.network.handlers[host] = handler

    async def send_request(
        self,
        code: codes.Code,
        path: str,
        *,
        flow: port.Flow = FLOW,
        **request: Any,
    ) -> codec.Message:
        """Sends a request and returns the reply to it."""
        request.setdefault("mid", next(self._message_ids))
        before = len(self.sender.sent)
        self.home.handle(flow, make_request(code, path, **request))
        while len(self.sender.sent) == before:
            await trio.sleep(0.001)
        return self.sender.sent[before][1]

    async def get_ticket(self, flow: port.Flow = FLOW) -> bytes:
        """Requests a new ticket as a caller and returns it."""
        reply = await self.send_request(codes.Code.POST, "/reserve", flow=flow)
        assert reply.code == replies.Code.UNAUTHORIZED
        echo: bytes = reply.opt.echo
        return echo


def send_reservation(
    world: HomeWorld,
    echo: bytes,
    token: bytes,
    mid: int,
    payload: bytes = b"lot 7",
) -> None:
    """Sends the home a reservation without waiting for the reply."""
    message = make_request(
        codes.Code.POST,
        "/reserve",
        token=token,
        mid=mid,
        payload=payload,
        echo=echo,
    )
    world.home.handle(FLOW, message)


def make_hanging_keeper(
    cancelled: list[base.Message],
) -> Callable[[base.Message], Awaitable[base.Message]]:
    """Returns a keeper that never answers.

    Args:
        cancelled: List to which it appends the messages whose handling was
            cancelled.
    """

    async def hang(message: base.Message) -> base.Message:
        try:
            await trio.sleep_forever()
        finally:
            cancelled.append(message)
        raise AssertionError

    return hang
