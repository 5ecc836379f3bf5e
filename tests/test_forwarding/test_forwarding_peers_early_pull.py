"""Tests of the snapshot that a host pulls before its event loop runs."""

from __future__ import annotations

from collections.abc import Iterator
import contextlib
import socket
import threading

import msgspec

from persimmonhinge import errors
from persimmonhinge.forwarding import core as core_module
from persimmonhinge.forwarding import settings as settings_module
from persimmonhinge.forwarding import startup
from persimmonhinge.forwarding import store_entry
from persimmonhinge.forwarding.peers import codec
from persimmonhinge.forwarding.peers import messages
from persimmonhinge.platform import adapter
from persimmonhinge.store import port
from tests.test_forwarding import test_forwarding_entry_replica as readers

_ADDRESS = "127.0.0.1"
_TIMEOUT_S = 5.0
_LONG_STATE_OCTETS = 20_000
_SNAPSHOT = messages.Snapshot(
    revision=9,
    is_absence_final=False,
    entries=(
        store_entry.StoreEntry("op/config", readers.make_state(3), 8),
        store_entry.StoreEntry(
            readers.make_key("1"),
            readers.make_entry(),
            9,
        ),
    ),
    peers=(),
)


class UnreachableStore:
    """A store whose connections are reset."""

    async def get_prefix(self, prefix: str, limit: int = 0) -> port.PrefixState:
        """See `port.PlatformReader`."""
        raise errors.PlatformUnavailableError("reset", step="get")


@contextlib.contextmanager
def run_seed(
    answer: bytes, requests: list[bytes] | None = None
) -> Iterator[int]:
    """Runs a seed host that answers one request; yields its port.

    Args:
        answer: The octets of the answer.
        requests: Receives the octets of the request, if given.
    """
    with socket.create_server((_ADDRESS, 0)) as server:
        server.settimeout(_TIMEOUT_S)

        def serve() -> None:
            with contextlib.suppress(OSError):
                connection, _ = server.accept()
                with connection:
                    request = connection.recv(64)
                    if requests is not None:
                        requests.append(request)
                    connection.sendall(answer)

        thread = threading.Thread(target=serve)
        thread.start()
        yield server.getsockname()[1]
    thread.join()


def make_core(
    snapshot_port: int, own_address: str = "127.0.0.9"
) -> core_module.ForwardCore:
    """Returns a host that has just started, with two seeds and no store."""
    settings = settings_module.parse(
        msgspec.json.encode(
            {
                "host": "h-1",
                "domain": "north",
                "packets": f"{own_address}:1",
                "pages": f"{own_address}:2",
                "peer_ports": [snapshot_port - 1, snapshot_port],
                "seeds": [f"{_ADDRESS}:7", f"{own_address}:7"],
                "store": {"address": f"{_ADDRESS}:9"},
                "first_call_limit_s": _TIMEOUT_S,
            }
        )
    )
    bound = socket.socket(type=socket.SOCK_DGRAM)
    bound.bind((_ADDRESS, 0))
    return core_module.ForwardCore(
        settings, bound, adapter.PacketFormat(), adapter.EntryFormat()
    )


def start_host(core: core_module.ForwardCore) -> bool:
    """Starts a host; returns whether it is complete before its event loop."""
    complete: list[bool] = []

    def work() -> None:
        complete.append(core.knowledge.is_complete())

    startup.forward_during_imports(work, core, UnreachableStore())  # type: ignore[arg-type]
    core.socket.socket.close()
    return complete[0]


def test_host_that_starts_without_a_store_forwards_by_its_seeds() -> None:
    """Guards against losing half of a domain's packets while its hosts start.

    Hosts are killed while the store is unavailable. The fabric sends packets
    to all hosts of the domain, as too few are in rotation, but those that
    start have no entries until their event loop runs and a peer has reported.
    """
    with run_seed(msgspec.msgpack.encode(_SNAPSHOT)) as snapshot_port:
        core = make_core(snapshot_port)
        assert start_host(core)
    assert core.entries.revision == 9
    assert not core.entries.is_absence_final()


def test_host_that_starts_without_a_store_takes_a_compressed_snapshot() -> None:
    """Guards against hosts that forward nothing for seconds after a start.

    They start during an outage of the store, and the desired state is long.
    Without compression, the slow link of a seed carries it to the starting
    hosts one after another.
    """
    state = {"Version": 3, "Routes": [], "Notes": "x" * _LONG_STATE_OCTETS}
    line = store_entry.StoreEntry("op/config", msgspec.json.encode(state), 8)
    entries = (line, *_SNAPSHOT.entries[1:])
    snapshot = messages.Snapshot(9, False, entries, ())
    requests: list[bytes] = []
    with run_seed(
        codec.SNAPSHOT_CODEC.encode(snapshot), requests
    ) as snapshot_port:
        core = make_core(snapshot_port)
        assert start_host(core)
    request = msgspec.msgpack.decode(requests[0], type=messages.PullRequest)
    assert request.accepts_compression


def test_seed_that_says_nonsense_ends_nothing() -> None:
    for answer in (b"", b"\xff" * 9, msgspec.msgpack.encode(["news"])):
        with run_seed(answer) as snapshot_port:
            core = make_core(snapshot_port)
            assert not start_host(core)
        assert core.counts.get("snapshot_errors_total") == 1


def test_seeds_that_are_down_end_nothing() -> None:
    with socket.create_server((_ADDRESS, 0)) as server:
        snapshot_port = server.getsockname()[1]
    core = make_core(snapshot_port)
    assert not start_host(core)


def test_host_that_is_its_own_seed_does_not_ask_itself() -> None:
    core = make_core(9, own_address=_ADDRESS)
    assert not start_host(core)
    assert core.counts.get("snapshot_errors_total") == 0
