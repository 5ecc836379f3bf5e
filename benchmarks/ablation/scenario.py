"""What differs between the deployments and loads that the emulator plays."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from persimmonhinge import ids
from persimmonhinge import records
from persimmonhinge.forwarding import overload_settings
from persimmonhinge.forwarding import route as route_module

if TYPE_CHECKING:
    from benchmarks.ablation import play


class Kind(records.Record, frozen=True):
    """Callers of one kind.

    Attributes:
        service_port: Port of their route.
        requests: Requests on one flow.
        pause_s: Mean time between two requests, seconds.
        limit_s: Time after which a caller gives up a request, seconds.
        group: Name under which outcomes of requests are counted.
        addresses: Addresses that the callers are spread over.
        starts_with_pause: Whether the time before the first request is drawn as
            a pause, so that the rate is constant from the start, and not evenly
            from the mean pause.
    """

    service_port: int
    requests: int
    pause_s: float
    limit_s: float
    group: str
    addresses: tuple[int, ...]
    starts_with_pause: bool = False


class Group(records.Record, frozen=True):
    """Requests whose outcomes are counted together.

    Attributes:
        name: Name of the group.
        target_s: Time within which an answer earns the whole credit, seconds.
        late_credit: Share of the credit that a later answer earns.
        worth: Credit of one request.
    """

    name: str
    target_s: float
    late_credit: float
    worth: float = 1.0


class Scenario(records.Record, frozen=True):
    """A deployment and its load.

    Attributes:
        domains: Failure domains.
        hosts_each: Hosts of each failure domain.
        upstream_domains: Failure domain of each upstream, as an index.
        queue: Requests that may wait at an upstream.
        max_queue_s: Time after which an upstream refuses a request that waits
            for a slot, seconds; None to drop what the queue has no place for.
        work_s: Mean work on a request by the port of its route, seconds.
        groups: Groups of requests.
        hash_port: Hash by which the fabric spreads flows over hosts.
        report_s: Time between two reports of a host, seconds.
        length_s: Length of a run, seconds.
        routes: Routes that hosts know; empty for those of the test scene.
        overload_control: Settings of the hosts; None for no overload control.
        plan: Adds the callers and plans the troubles.
    """

    domains: tuple[ids.DomainId, ...]
    hosts_each: int
    upstream_domains: tuple[int, ...]
    queue: int
    max_queue_s: float | None
    work_s: dict[int, float]
    groups: tuple[Group, ...]
    hash_port: Callable[[int], int]
    report_s: float
    length_s: float
    routes: tuple[route_module.Route, ...]
    overload_control: overload_settings.OverloadSettings | None
    plan: Callable[[play.Play], None]
