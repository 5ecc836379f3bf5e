"""Settings of the program `persimmonhinge-forward`."""

from __future__ import annotations

# The C module is imported directly, as its wrapper `socket` is slow to import.
from collections.abc import Callable

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge import json_reader
from persimmonhinge import records
from persimmonhinge.forwarding import address_text
from persimmonhinge.forwarding import flow
from persimmonhinge.forwarding import overload_settings
from persimmonhinge.light_typing import TYPE_CHECKING

if TYPE_CHECKING:
    from typing import Any

_ERROR_STEP = "read settings"
# Longest wait of a watch for a change, as a fraction of the shortest limit.
_WATCH_WAIT_FRACTION = 0.5
# Time from a change to the next call of a watch, as a fraction of the shortest
# limit.
_COALESCE_FRACTION = 1 / 12
# Time for an update to reach all hosts, seconds. A slow store answers within
# 0.4 s, and updates reach all hosts after two reports, which take 0.2 s.
_MAX_UPDATE_DELAY_S = 0.7
# Longest time that a setting can give, seconds; above it, time limits of
# sockets overflow.
_MAX_TIME_S = 86_400.0
_MS_PER_S = 1000
# Shortest time that is used of a limit for changes, milliseconds: a watch that
# waits for less would call the store without a pause.
_MIN_LIMIT_MS = 100.0
# Longest wait of a watch that the store accepts, seconds.
_MAX_WATCH_WAIT_S = 30.0
_MAX_FILE_OCTETS = 1 << 20
# Number of entries of `peer_ports`: the first and the last port.
_PORT_RANGE_ENTRIES = 2
_MAX_NAME_CHARACTERS = 200
# Choice policies that a forwarding host imports at its start.
_CHOICE_POLICIES = ("near-first",)
_PLACEMENT_POLICIES = ("near-first", "by-work")
_ADMISSION_POLICIES = ("open", "by-priority")
_MAX_WAITING_FLOWS = 100_000
# Callers give up an opening after 1,400 ms, and an upstream takes some time to
# answer it.
_MAX_WAIT_MS = 1300
_MAX_LOW_PRIORITY_SHARE = 0.5
_LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


class StoreAddress(records.Record, frozen=True):
    """Address of the platform's store.

    Attributes:
        address: IP address and port of the store.
    """

    address: str


class ForwardSettings(records.Record, frozen=True):
    """Settings of one forwarding host.

    Attributes:
        host: Name of the host.
        domain: Failure domain of the host.
        packets: IP address and UDP port for packets of flows.
        pages: IP address and TCP port of the readiness page.
        metrics_port: TCP port of the metrics page; 0 for none.
        peer_ports: First and last port for traffic between hosts; the first is
            for reports, the next one for snapshots.
        seeds: Addresses and ports of the hosts that receive the first reports;
            the ports are not used.
        store: Address of the platform's store.
        drain_limit_ms: Time within which a draining upstream must stop
            receiving new flows, milliseconds.
        change_limit_ms: Time within which a change must be in force,
            milliseconds.
        evacuation_limit_ms: Time within which an evacuated failure domain must
            stop receiving new flows, milliseconds; None to use
            `drain_limit_ms`.
        regions: Pairs of the name of a failure domain and that of its region.
        stop_limit_s: Time between SIGTERM and SIGKILL, seconds.
        flow_life_s: Age after which the record of a flow may be removed,
            seconds.
        call_limit_s: Time limit of a call to the store, seconds. A slow store
            answers in 0.4 s.
        first_call_limit_s: Time limit of a call to the store while packets wait
            for the first answer of the store, seconds.
        choice: Name of the policy that chooses the upstream of a new flow.
        log_level: Name of the lowest level that is logged.
        overload_control: Which parts of the overload control run; by default
            none.
        memory_limit_mb: Memory above which the platform ends the process, MB;
            None if it is not known.
    """

    host: str
    domain: str
    packets: str
    pages: str
    peer_ports: tuple[int, int]
    store: StoreAddress
    seeds: tuple[str, ...] = ()
    metrics_port: int = 0
    drain_limit_ms: float = 3000
    change_limit_ms: float = 3000
    evacuation_limit_ms: float | None = None
    regions: tuple[tuple[str, str], ...] = ()
    stop_limit_s: float = 6
    flow_life_s: float = 60
    call_limit_s: float = 1.0
    first_call_limit_s: float = 0.3
    choice: str = "near-first"
    log_level: str = "INFO"
    overload_control: overload_settings.OverloadSettings = (
        overload_settings.OverloadSettings()
    )
    memory_limit_mb: float | None = None

    @property
    def watch_wait_s(self) -> float:
        """Longest wait of a watch for a change, seconds.

        A watch that no longer answers is detected shortly after this time. The
        detection and a new read of the store together must stay within the
        limits for changes.
        """
        wait_s = self._shortest_limit_s() * _WATCH_WAIT_FRACTION
        return min(wait_s, _MAX_WATCH_WAIT_S)

    @property
    def coalesce_s(self) -> float:
        """Delay from a change to the next call of a watch, seconds.

        That call returns all changes made during the delay.
        """
        return self._shortest_limit_s() * _COALESCE_FRACTION

    @property
    def max_current_age_s(self) -> float:
        """Age up to which the host's view is current, seconds.

        The age is the time since the store last confirmed the view.
        The store answers a watch at the end of its wait, or a little later.
        """
        return self.watch_wait_s + _MAX_UPDATE_DELAY_S

    @property
    def own_address(self) -> str:
        """IP address of the host."""
        return parse_endpoint(self.packets).host

    @property
    def report_port(self) -> int:
        """UDP port of reports, the same at all hosts."""
        return self.peer_ports[0]

    @property
    def snapshot_port(self) -> int:
        """TCP port of snapshots, the same at all hosts."""
        return self.peer_ports[0] + 1

    def _shortest_limit_s(self) -> float:
        """Returns the shortest limit for a change to be in force, seconds."""
        shortest_ms = min(
            self.drain_limit_ms,
            self.change_limit_ms,
            self.evacuation_limit_ms or self.drain_limit_ms,
        )
        return max(shortest_ms, _MIN_LIMIT_MS) / _MS_PER_S

    def domain_regions(self) -> dict[ids.DomainId, ids.RegionId]:
        """Returns the region of each failure domain."""
        return {
            ids.DomainId(domain): ids.RegionId(region)
            for domain, region in self.regions
        }

    def seed_addresses(self) -> list[str]:
        """Returns the IP addresses of the hosts that receive first reports."""
        return [parse_endpoint(seed).host for seed in self.seeds]


def parse_endpoint(text: str) -> flow.Endpoint:
    """Parses an IPv4 address and a port, as in `10.0.0.1:80`.

    Names of hosts are refused: they would be looked up at each use.

    Raises:
        ValueError: The text is not an address and a port.
    """
    try:
        return address_text.parse_endpoint(text)
    except ValueError as error:
        raise ValueError(
            f"{text!r:.80} is not an IPv4 address and a port"
        ) from error


def load(path: str) -> ForwardSettings:
    """Reads the settings file.

    Raises:
        RefusedSettingsError: The file can't be read or holds an invalid value.
    """
    try:
        with open(path, "rb") as file:
            text = file.read(_MAX_FILE_OCTETS + 1)
        if len(text) > _MAX_FILE_OCTETS:
            raise ValueError(f"longer than {_MAX_FILE_OCTETS} octets")
        return parse(text)
    except json_reader.FieldError as error:
        raise errors.RefusedSettingsError(
            error.reason, step=_ERROR_STEP, peer=path, field=error.field
        ) from error
    except (OSError, ValueError) as error:
        raise errors.RefusedSettingsError(
            _join_lines(str(error)), step=_ERROR_STEP, peer=path
        ) from error


def _join_lines(text: str) -> str:
    return " ".join(text.split())


def parse(text: bytes) -> ForwardSettings:
    """Parses settings in YAML.

    Raises:
        ValueError: The text is not YAML, or a value is invalid.
    """
    document = _drop_absent(
        json_reader.expect(_read_document(text), dict, "document")
    )
    unknown = sorted(map(str, document.keys() - _READERS.keys()))
    if unknown:
        raise ValueError(f"unknown settings: {', '.join(unknown)[:200]}")
    missing = [name for name in _REQUIRED if name not in document]
    if missing:
        raise ValueError(f"missing settings: {', '.join(missing)}")
    return ForwardSettings(
        **{name: _READERS[name](name, v) for name, v in document.items()}
    )


def _drop_absent(document: dict[Any, Any]) -> dict[Any, Any]:
    """Returns the settings that have a value.

    The platform writes nothing, or null, for what it has no value for, and may
    write a limit as true, false or 0 if it gives no figure. Such a setting has
    its default value.
    """
    return {
        name: value
        for name, value in document.items()
        if value is not None and not _is_limit_without_figure(name, value)
    }


def _is_limit_without_figure(name: object, value: object) -> bool:
    if name not in _LIMITS:
        return False
    return isinstance(value, bool) or (
        isinstance(value, (int, float)) and value == 0
    )


def _read_document(text: bytes) -> object:
    """Returns the content of a YAML document.

    JSON is a subset of YAML. Settings in JSON spare the host the import of a
    YAML parser at each start.
    """
    try:
        return json_reader.decode(text)
    except ValueError:
        # The text is not JSON and is parsed as YAML below.
        pass
    import yaml

    # The library has no C loader where it was built without libyaml.
    loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
    try:
        return yaml.load(text, loader)
    # The constructors of tags also raise AttributeError, IndexError, KeyError
    # and others.
    except Exception as error:
        raise ValueError(f"not YAML: {error}") from error


def _read_text(name: str, value: object) -> str:
    text = json_reader.expect(value, str, name)
    if not 1 <= len(text) <= _MAX_NAME_CHARACTERS:
        raise json_reader.FieldError(
            name, f"is not 1 to {_MAX_NAME_CHARACTERS} characters long"
        )
    if "\0" in text or any("\ud800" <= c <= "\udfff" for c in text):
        raise json_reader.FieldError(name, "has characters that are no text")
    return text


def _read_address(name: str, value: object) -> str:
    text = json_reader.expect(value, str, name)
    try:
        parse_endpoint(text)
    except ValueError as error:
        raise json_reader.FieldError(name, str(error)) from error
    return text


def _read_addresses(name: str, value: object) -> tuple[str, ...]:
    return tuple(
        _read_address(name, v)
        for v in json_reader.expect(value, list, name)
        if v is not None
    )


def _read_store(name: str, value: object) -> StoreAddress:
    document = json_reader.expect(value, dict, name)
    if document.keys() != {"address"}:
        raise json_reader.FieldError(
            name, "must have the field address and no other"
        )
    address = _read_address(f"{name}.address", document["address"])
    return StoreAddress(address)


def _read_regions(name: str, value: object) -> tuple[tuple[str, str], ...]:
    if value == []:
        return ()
    document = json_reader.expect(value, dict, name)
    return tuple(
        (_read_text(name, domain), _read_text(f"{name}.{domain!s:.40}", region))
        for domain, region in document.items()
        if region is not None
    )


def _read_port(name: str, value: object, min_port: int = 1) -> int:
    number = json_reader.expect(value, int, name)
    if not min_port <= number <= address_text.MAX_PORT:
        raise json_reader.FieldError(
            name, f"is not a port from {min_port} to {address_text.MAX_PORT}"
        )
    return number


def _read_port_or_none(name: str, value: object) -> int:
    return _read_port(name, value, 0)


def _read_ports(name: str, value: object) -> tuple[int, int]:
    ports = json_reader.expect(value, list, name)
    if len(ports) != _PORT_RANGE_ENTRIES:
        raise json_reader.FieldError(
            name, "is not a list of a first and a last port"
        )
    first_port = _read_port(name, ports[0])
    if first_port == address_text.MAX_PORT:
        raise json_reader.FieldError(name, "has no port after the first one")
    return first_port, _read_port(name, ports[1])


def _read_positive(name: str, value: object) -> float:
    number = json_reader.expect_number(value, name)
    if not number > 0:
        raise json_reader.FieldError(name, "is not a number above 0")
    return number


def _read_time_ms(name: str, value: object) -> float:
    return min(_read_positive(name, value), _MAX_TIME_S * _MS_PER_S)


def _read_time_s(name: str, value: object) -> float:
    return min(_read_positive(name, value), _MAX_TIME_S)


def _read_choice(name: str, value: object) -> str:
    return _read_one_of(name, value, _CHOICE_POLICIES)


def _read_log_level(name: str, value: object) -> str:
    return _read_one_of(name, value, _LOG_LEVELS)


def _read_overload_control(
    name: str, value: object
) -> overload_settings.OverloadSettings:
    document = json_reader.expect(value, dict, name)
    unknown = sorted(map(str, document.keys() - _OVERLOAD_READERS.keys()))
    if unknown:
        raise ValueError(f"{name} has unknown settings: {', '.join(unknown)}")
    return overload_settings.OverloadSettings(
        **{
            field: _OVERLOAD_READERS[field](f"{name}.{field}", v)
            for field, v in document.items()
        }
    )


def _read_placement(name: str, value: object) -> str:
    return _read_one_of(name, value, _PLACEMENT_POLICIES)


def _read_admission(name: str, value: object) -> str:
    return _read_one_of(name, value, _ADMISSION_POLICIES)


def _read_switch(name: str, value: object) -> bool:
    return json_reader.expect(value, bool, name)


def _read_max_waiting_flows(name: str, value: object) -> int:
    number = json_reader.expect(value, int, name)
    if not 1 <= number <= _MAX_WAITING_FLOWS:
        raise json_reader.FieldError(
            name, f"is not from 1 to {_MAX_WAITING_FLOWS}"
        )
    return number


def _read_max_wait_ms(name: str, value: object) -> float:
    time_ms = _read_positive(name, value)
    if time_ms > _MAX_WAIT_MS:
        raise json_reader.FieldError(name, f"is more than {_MAX_WAIT_MS} ms")
    return time_ms


def _read_low_priority_share(name: str, value: object) -> float:
    share = json_reader.expect_number(value, name)
    if not 0 <= share <= _MAX_LOW_PRIORITY_SHARE:
        raise json_reader.FieldError(
            name, f"is not from 0 to {_MAX_LOW_PRIORITY_SHARE}"
        )
    return share


def _read_one_of(name: str, value: object, allowed: tuple[str, ...]) -> str:
    text = json_reader.expect(value, str, name)
    if text not in allowed:
        raise json_reader.FieldError(
            name, f"is {text!r}; allowed: {', '.join(allowed)}"
        )
    return text


_OVERLOAD_READERS: dict[str, Callable[[str, object], Any]] = {
    "placement": _read_placement,
    "admission": _read_admission,
    "upstream_quality": _read_switch,
    "max_waiting_flows": _read_max_waiting_flows,
    "max_wait_ms": _read_max_wait_ms,
    "low_priority_share": _read_low_priority_share,
}
_READERS: dict[str, Callable[[str, object], Any]] = {
    "host": _read_text,
    "domain": _read_text,
    "packets": _read_address,
    "pages": _read_address,
    "peer_ports": _read_ports,
    "store": _read_store,
    "seeds": _read_addresses,
    "metrics_port": _read_port_or_none,
    "drain_limit_ms": _read_time_ms,
    "change_limit_ms": _read_time_ms,
    "evacuation_limit_ms": _read_time_ms,
    "regions": _read_regions,
    "stop_limit_s": _read_time_s,
    "flow_life_s": _read_time_s,
    "call_limit_s": _read_time_s,
    "first_call_limit_s": _read_time_s,
    "choice": _read_choice,
    "log_level": _read_log_level,
    "overload_control": _read_overload_control,
    "memory_limit_mb": _read_positive,
}
# Settings that the platform may write without a figure.
_LIMITS = frozenset(
    {
        "drain_limit_ms",
        "change_limit_ms",
        "evacuation_limit_ms",
        "stop_limit_s",
        "flow_life_s",
        "memory_limit_mb",
    }
)
# Names of the settings without a default value.
_REQUIRED = tuple(
    name for name in _READERS if not hasattr(ForwardSettings, name)
)
