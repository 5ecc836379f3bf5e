"""Runs a keeper for tests and makes contracts and messages for it."""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib
import dataclasses
import json
import pathlib
import tempfile
from typing import Any

import aiocoap
import trio

from persimmonhinge import ids
from persimmonhinge.coap import codec
from persimmonhinge.coap import transmission
from persimmonhinge.contracts import contract as contract_module
from persimmonhinge.contracts import store as store_module
from persimmonhinge.membership import member
from persimmonhinge.membership import placement
from persimmonhinge.membership import view as view_module
from persimmonhinge.metrics import counts as counts_module
from persimmonhinge.peers.messages import control
from persimmonhinge.peers.messages import feeds
from persimmonhinge.peers.messages import work
from persimmonhinge.settings import entry
from persimmonhinge.upstreams import job
from persimmonhinge.upstreams import keeper as keeper_module
from tests.standins import upstream
from tests.standins import upstream_settings
from tests.test_upstreams import fake_network

SERVICE = ids.ServiceName("floor-trading")
HOME = ids.HostRef(77)
FAST_TIMERS = transmission.Transmission(ack_timeout_s=0.2)


def make_member(
    host: str,
    domain: str = "east",
    state: member.MemberState = member.MemberState.ALIVE,
) -> member.Member:
    """Returns a member of the group of hosts, alive by default."""
    return member.Member(
        ids.HostId(host),
        ids.DomainId(domain),
        "127.0.0.1",
        1,
        1,
        ids.Incarnation(1),
        state,
    )


def make_contract(
    ports: dict[str, int], service: str = SERVICE, **changes: Any
) -> contract_module.Contract:
    """Returns a contract for upstreams on the loopback address.

    Args:
        ports: UDP port of each upstream, by upstream id.
        service: Name of the service.
        **changes: Fields of the contract to set or override; `limits` and
            `upstream` are merged into the default limits and upstreams.
    """
    limits = changes.pop("limits", {})
    upstream_changes = changes.pop("upstream", {})
    document = {
        "service": service,
        "address": "127.0.0.1:5683",
        "upstreams": [
            {
                "id": name,
                "address": f"127.0.0.1:{port}",
                "domain": "east",
                "slots": 2,
                **upstream_changes,
            }
            for name, port in ports.items()
        ],
        "call_classes": [
            {
                "name": "reservations",
                "method": "POST",
                "path": "/lots/*",
                "priority": 0,
            },
            {
                "name": "manifests",
                "method": "POST",
                "path": "/manifests",
                "priority": 5,
                "share": 0.2,
                "idempotent": True,
            },
            {"name": "reads", "method": "GET", "path": "/*"},
        ],
        "limits": {"upstream_timeout_s": 2.0, **limits},
        **changes,
    }
    return contract_module.Contract.model_validate(document)


def make_job(
    contract: contract_module.Contract,
    name: str,
    number: int,
    deadline_s: float,
) -> job.Job:
    """Returns a job of a call class.

    Args:
        contract: Contract of the service.
        name: Name of the call class.
        number: Number of the request, also its position in the order of
            arrival.
        deadline_s: Time until the deadline, seconds.
    """
    call_class = contract.get_class(ids.CallClassName(name))
    assert call_class is not None
    return job.Job(
        make_dispatch(number=number),
        codec.Message(),
        call_class,
        trio.current_time() + deadline_s,
        number,
    )


def make_record(
    contract: contract_module.Contract, revision: int
) -> control.ContractRecord:
    """Returns a contract in the form in which hosts send it to each other."""
    return control.ContractRecord(
        ids.ServiceName(contract.service),
        ids.Revision(revision),
        contract.model_dump_json().encode(),
    )


def make_request(
    path: str, body: bytes = b"", code: aiocoap.Code = aiocoap.POST
) -> bytes:
    """Returns a request in the form in which a home dispatches it."""
    message = codec.Message(code=code, payload=body)
    message.mtype = aiocoap.NON
    message.mid = 0
    message.opt.uri_path = path.strip("/").split("/")
    return codec.encode(message)


def make_dispatch(
    upstream_id: str = "u1", number: int = 1, **changes: Any
) -> work.Dispatch:
    """Returns the dispatch of a reservation; each number is a new request."""
    key = f"key-{number}"
    uptime_ms = 1_000 + int(trio.current_time() * 1_000)
    body = json.dumps({"key": key}).encode()
    fields = {
        "service": SERVICE,
        "revision": ids.Revision(1),
        "upstream": ids.UpstreamId(upstream_id),
        "call_class": ids.CallClassName("reservations"),
        "request": make_request("/lots/berries", body),
        "deadline_ms": 5_000,
        "idempotent": False,
        "ticket": ids.TicketId(b"ticket"),
        "token": b"token",
        "digest": key.encode(),
        "home": HOME,
        "home_uptime_ms": uptime_ms,
        "ticket_expiry_ms": uptime_ms + 120_000,
        **changes,
    }
    return work.Dispatch(**fields)


def make_recover(dispatch: work.Dispatch, **changes: Any) -> work.Recover:
    """Returns the recovery query for a dispatched request."""
    fields = {
        "service": dispatch.service,
        "ticket": dispatch.ticket,
        "token": dispatch.token,
        "digest": dispatch.digest,
        "home": dispatch.home,
        "ticket_expiry_ms": dispatch.ticket_expiry_ms,
        **changes,
    }
    return work.Recover(**fields)


def make_feed_open(upstream_id: str = "u1", **changes: Any) -> feeds.FeedOpen:
    """Returns the message by which a home opens a feed."""
    fields = {
        "service": SERVICE,
        "revision": ids.Revision(1),
        "upstream": ids.UpstreamId(upstream_id),
        "request": make_request("/board", code=aiocoap.GET),
        "caller_host": "127.0.0.9",
        "caller_port": 4000,
        "token": b"feed",
        "last_sequence": 40,
        **changes,
    }
    return feeds.FeedOpen(**fields)


@dataclasses.dataclass
class Scene:
    """A running keeper and the objects that it was created with.

    Attributes:
        view: The host's view of the members.
        store: The contracts of the host.
        network: Fake network that calls the keeper's handlers.
        counts: Metrics of the host.
        keeper: The keeper under test.
        nursery: Runs tasks until the scene is closed.
    """

    view: view_module.View
    store: store_module.ContractStore
    network: fake_network.FakeNetwork
    counts: counts_module.Counts
    keeper: keeper_module.Keeper
    nursery: trio.Nursery

    async def call_keeper(self, message: Any, home: str = "home") -> Any:
        """Sends a message to the keeper like a home; returns the answer."""
        return await self.network.call_keeper(message, home)


@contextlib.asynccontextmanager
async def open_scene(
    host: str = "east-1", **options: Any
) -> AsyncIterator[Scene]:
    """Runs a keeper on a host in the domain `east`.

    Args:
        host: Name of the host.
        **options: Further arguments of `Keeper`.
    """
    view = view_module.View(make_member(host))
    store = store_module.ContractStore(trio.current_time)
    network = fake_network.FakeNetwork(ids.HostId(host))
    counts = counts_module.Counts()
    options.setdefault("timers", FAST_TIMERS)
    async with trio.open_nursery() as nursery:
        keeper_part = keeper_module.Keeper(
            _make_settings(),
            view,
            placement.Placement(view),
            store,
            network,
            counts,
            **options,
        )
        await nursery.start(keeper_part.run)
        yield Scene(view, store, network, counts, keeper_part, nursery)
        nursery.cancel_scope.cancel()


@dataclasses.dataclass
class StandIn:
    """An upstream stand-in that runs in this process.

    Attributes:
        port: Its UDP port.
        log: File of its log, one JSON document per line.
    """

    port: int
    log: pathlib.Path

    def read_log(self, kind: str = "run") -> list[dict[str, Any]]:
        """Returns the log entries of one kind."""
        lines = self.log.read_text(encoding="utf-8").splitlines()
        found = [json.loads(line) for line in lines]
        return [line for line in found if line["kind"] == kind]


async def send_to_standin(
    port: int, path: str, document: Any = None
) -> dict[str, Any]:
    """Sends a control request to a stand-in; returns its JSON answer."""
    message = codec.Message(
        code=aiocoap.GET if path.endswith("stats") else aiocoap.POST
    )
    message.payload = b"" if document is None else json.dumps(document).encode()
    message.mtype = aiocoap.CON
    message.mid = 1
    message.opt.uri_path = path.strip("/").split("/")
    with trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM) as s:
        await s.sendto(codec.encode(message), ("127.0.0.1", port))
        data, _ = await s.recvfrom(4096)
    answer: dict[str, Any] = json.loads(codec.decode(data).payload or b"{}")
    return answer


@contextlib.asynccontextmanager
async def open_standin(
    name: str = "u1", **changes: Any
) -> AsyncIterator[StandIn]:
    """Runs an upstream stand-in.

    Args:
        name: Id of the upstream.
        **changes: Settings of the stand-in to override.
    """
    with tempfile.TemporaryDirectory() as folder:
        log = pathlib.Path(folder, f"{name}.jsonl")
        settings = upstream_settings.UpstreamSettings(
            **{
                "service": SERVICE,
                "id": name,
                "address": "127.0.0.1",
                "port": 0,
                "slots": 2,
                "connections": 10,
                "log": log,
                "run_time_ms": 20.0,
                "feed_interval_ms": 50,
                **changes,
            }
        )
        async with trio.open_nursery() as nursery:
            address = await nursery.start(upstream.run, settings)
            yield StandIn(address[1], log)
            nursery.cancel_scope.cancel()


def _make_settings() -> entry.EntrySettings:
    return entry.EntrySettings.model_validate(
        {
            "host": "east-1",
            "domain": "east",
            "peers": {"port": 0, "heartbeat_port": 0},
            "platform": {"endpoints": ["http://127.0.0.1:1"]},
        }
    )
