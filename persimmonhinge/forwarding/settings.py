"""Settings of `persimmonhinge-forward`."""

from __future__ import annotations

from typing import Annotated
from typing import Literal

import msgspec

from persimmonhinge import errors
from persimmonhinge.forwarding import flow as flows

Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
Positive = Annotated[float, msgspec.Meta(gt=0)]
LogLevel = Literal["DEBUG", "INFO", "WARNING", "ERROR"]
# Policies that a forwarding host imports at its start.
Choice = Literal["near-first"]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]

_STEP = "read settings"
# Share of the shortest limit that a watch may wait.
_WATCH_SHARE = 0.5
# A slow store answers within 0.4 s; news take two reports, 0.2 s, to all hosts.
_ANSWER_S = 0.7


class StoreAddress(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The platform's store.

    Attributes:
        address: IP address and port.
    """

    address: str


class ForwardSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of one host that forwards packets.

    Attributes:
        host: Name of this host.
        domain: Its failure domain.
        packets: IP address and UDP port of packets.
        pages: IP address and TCP port of the readiness page.
        metrics_port: TCP port of the metrics page; 0 for none.
        peer_ports: First and last port that hosts may use among themselves;
            the first is for reports, the next for snapshots.
        seeds: Addresses and ports of hosts to tell first; the ports are not
            used.
        store: The platform's store.
        drain_limit_ms: Time in which an upstream that leaves must get no new
            flow any more, milliseconds.
        change_limit_ms: Time in which a change must be in force,
            milliseconds.
        stop_limit_s: Time between SIGTERM and SIGKILL, seconds.
        flow_life_s: Age after which a flow may be forgotten, seconds.
        call_limit_s: Limit of a call to the store, seconds. A slow store
            answers in 0.4 s.
        first_call_limit_s: The same while packets wait for the first answer,
            seconds.
        choice: Policy that chooses the upstream of a new flow.
        log_level: Name of the lowest level that is logged.
    """

    host: Name
    domain: Name
    packets: str
    pages: str
    peer_ports: tuple[Port, Port]
    store: StoreAddress
    seeds: tuple[str, ...] = ()
    metrics_port: Annotated[int, msgspec.Meta(ge=0, le=65_535)] = 0
    drain_limit_ms: Positive = 3000
    change_limit_ms: Positive = 3000
    stop_limit_s: Positive = 6
    flow_life_s: Positive = 60
    call_limit_s: Positive = 1.0
    first_call_limit_s: Positive = 0.3
    choice: Choice = "near-first"
    log_level: LogLevel = "INFO"

    def __post_init__(self) -> None:
        """Checks the addresses.

        Raises:
            ValueError: One of them is not an address and a port.
        """
        for text in (
            self.packets,
            self.pages,
            self.store.address,
            *self.seeds,
        ):
            parse_endpoint(text)

    @property
    def watch_wait_s(self) -> float:
        """How long a watch waits for a change, seconds.

        A watch that has gone silent is noticed a little later; with the time
        for a new reading that must stay within both limits.
        """
        limit_ms = min(self.drain_limit_ms, self.change_limit_ms)
        return limit_ms / 1000 * _WATCH_SHARE

    @property
    def current_s(self) -> float:
        """Age up to which knowledge that the store confirmed is current.

        The store answers a watch within its waiting time and a little more.
        """
        return self.watch_wait_s + _ANSWER_S

    @property
    def own_address(self) -> str:
        """IP address of this host."""
        return parse_endpoint(self.packets).host

    @property
    def report_port(self) -> int:
        """UDP port of reports, the same at all hosts."""
        return self.peer_ports[0]

    @property
    def snapshot_port(self) -> int:
        """TCP port of snapshots, the same at all hosts."""
        return self.peer_ports[0] + 1

    def seed_addresses(self) -> list[str]:
        """Returns IP addresses of hosts to tell first."""
        return [parse_endpoint(seed).host for seed in self.seeds]


def parse_endpoint(text: str) -> flows.Endpoint:
    """Reads an address and a port, as in `10.0.0.1:80`.

    Raises:
        ValueError: It is something else.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) <= 65_535:
        raise ValueError(f"{text!r} is not an address and a port")
    return flows.Endpoint(host, int(port))


def load(path: str) -> ForwardSettings:
    """Reads the settings file.

    Raises:
        SettingsError: It can't be read or holds a value that is not allowed.
    """
    try:
        with open(path, "rb") as file:
            return parse(file.read())
    except (OSError, msgspec.MsgspecError, ValueError) as error:
        raise errors.SettingsError(str(error), step=_STEP, peer=path) from error


def parse(text: bytes) -> ForwardSettings:
    """Reads settings in YAML.

    Raises:
        msgspec.MsgspecError: It is not YAML, or a value is not allowed.
        ValueError: The same.
    """
    try:
        # All JSON is YAML. Reading it as JSON spares the import of a YAML
        # parser, 30 ms of processor time at each start.
        document = msgspec.json.decode(text)
    except msgspec.DecodeError:
        document = msgspec.yaml.decode(text)
    return msgspec.convert(document, ForwardSettings)
