"""What must hold, judged from what callers and upstreams saw."""

from __future__ import annotations

import bisect
from collections.abc import Callable
from collections.abc import Iterator
import json

from persimmonhinge import registry
from persimmonhinge.load.flows import records
from tests.soak import disturbances as disturbance_lists
from tests.soak import probes
from tests.soak import scene as scenes
from tests.standins import flow_upstream

Check = Callable[["Evidence"], Iterator[str]]
checks: registry.Registry[Check] = registry.Registry("check")

# Limits of the hosts' settings, with room for a busy machine, seconds.
_DRAIN_S = 3.3
_CHANGE_S = 3.3
# A host is held to these limits once it was left alone for so long, seconds.
CALM_S = 4.5
# After any disturbance everything is served again within so long, seconds.
_RECOVERY_S = 6.0
# Datagrams of one host may overtake each other by so much, seconds.
_OVERTAKE_S = 0.25
_FEWEST_CALM_REQUESTS = 20
# Event of a log line about an input that a decoder accepted and that raised an
# error later.
_FAILURE = "Failed to handle an input."


class Evidence:
    """What there is to judge by when a run has ended.

    Attributes:
        scene: All that ran.
        arrivals: Packets at upstreams, in the order of time.
        owners: Upstream of each open flow.
    """

    def __init__(self, scene: scenes.SoakScene) -> None:
        self.scene = scene
        upstreams = scene.board.all.values()
        self.arrivals = sorted(
            (arrival for u in upstreams for arrival in u.arrivals),
            key=lambda arrival: arrival.at,
        )
        opened = scene.load.book.opened
        self.owners = {
            flow: upstream
            for upstream in upstreams
            for flow, sequence in upstream.began.items()
            if opened.get(flow) == sequence
        }
        self._hosts = {h.address: h.name for h in scene.deployment.hosts}

    def name_host(self, arrival: flow_upstream.Arrival) -> str:
        """Returns the name of the host that sent a packet on."""
        return self._hosts.get(arrival.host, arrival.host)

    def is_held_to_limits(self, host: str, at: float) -> bool:
        """Tells whether a host and the store were calm for long enough."""
        what = {host, disturbance_lists.STORE}
        return self.scene.disturbances.is_calm(what, at - CALM_S, at)


def judge(scene: scenes.SoakScene) -> dict[str, list[str]]:
    """Returns what each check found."""
    evidence = Evidence(scene)
    return {name: list(checks.get(name)(evidence)) for name in checks.names()}


@checks.register("crossed")
def _check_crossed(evidence: Evidence) -> Iterator[str]:
    """A packet is at an upstream that its flow does not lead to."""
    for arrival in evidence.arrivals:
        flow = arrival.segment.flow
        upstream = evidence.scene.board.all[arrival.upstream]
        owner = evidence.owners.get(flow)
        if evidence.scene.service_of(flow.service_port) != upstream.service:
            yield f"{flow} opened at {upstream.id} of {upstream.service}"
        elif arrival.segment.opens or arrival.known or owner is None:
            continue
        elif owner.name != upstream.name:
            yield f"{flow} of {owner.id} is at {upstream.id}"
    book = evidence.scene.load.book
    yield from (f"answer to another: {key}" for key in book.crossed)
    yield from (f"strange data: {data!r}" for data in book.strange)


@checks.register("reset")
def _check_resets(evidence: Evidence) -> Iterator[str]:
    """An open flow is reset by a host though its upstream lives."""
    for reset in evidence.scene.load.book.resets:
        owner = evidence.owners.get(reset.flow)
        if not reset.opened or owner is None:
            continue
        if owner.id in evidence.scene.board.late_ids:
            continue
        ended_at = evidence.scene.board.ended_at.get(owner.id)
        if ended_at is None or reset.at < ended_at:
            yield f"{reset.flow} at {owner.id}"


@checks.register("drained")
def _check_drained(evidence: Evidence) -> Iterator[str]:
    """A new flow is at an upstream that has said long ago that it leaves."""
    drained_at = evidence.scene.board.drained_at
    for arrival in evidence.arrivals:
        since = drained_at.get(arrival.upstream)
        if since is None or not arrival.segment.opens:
            continue
        host = evidence.name_host(arrival)
        late = arrival.at > since + _DRAIN_S
        if late and evidence.is_held_to_limits(host, arrival.at):
            after_s = arrival.at - since
            yield f"{arrival.upstream} by {host} after {after_s:.1f} s"


@checks.register("versions")
def _check_versions(evidence: Evidence) -> Iterator[str]:
    """A change is not in force in time at a host."""
    operator = evidence.scene.operator
    reached = {arrival.segment.flow for arrival in evidence.arrivals}
    for probe in operator.probes:
        added_at = operator.applied_at[probe.version]
        dropped_at = operator.applied_at.get(probe.version + 1)
        if not evidence.is_held_to_limits(probe.host, probe.sent_at):
            continue
        if dropped_at is not None and probe.sent_at > dropped_at + _CHANGE_S:
            if probe.flow in reached:
                yield f"{probe.host} still serves version {probe.version}"
            continue
        next_at = operator.written_at.get(probe.version + 1, float("inf"))
        in_force = added_at + _CHANGE_S < probe.sent_at
        # A probe that was under way when the next version came is no proof.
        is_dropped = next_at < probe.sent_at + probes.ANSWER_S
        if probe.refused and in_force and not is_dropped:
            yield f"{probe.host} lacks version {probe.version}"


@checks.register("went-back")
def _check_order(evidence: Evidence) -> Iterator[str]:
    """A host that has shown a version shows an older one later."""
    arrived = {a.segment.flow: a.at for a in evidence.arrivals}
    shown = [
        (arrived[probe.flow], probe)
        for probe in evidence.scene.operator.probes
        if probe.flow in arrived
    ]
    waiting = sorted(shown, key=lambda pair: pair[0], reverse=True)
    newest: dict[tuple[str, int], int] = {}
    for _, probe in sorted(shown, key=lambda pair: pair[1].sent_at):
        while waiting and waiting[-1][0] + _OVERTAKE_S <= probe.sent_at:
            at, earlier = waiting.pop()
            start = _name_start(evidence, earlier.host, at)
            newest[start] = max(newest.get(start, 0), earlier.version)
        start = _name_start(evidence, probe.host, probe.sent_at)
        if probe.version < newest.get(start, 0):
            yield f"{probe.host} went from {newest[start]} to {probe.version}"


def _name_start(evidence: Evidence, host: str, at: float) -> tuple[str, int]:
    """Returns which start of a host a time belongs to."""
    return host, bisect.bisect(evidence.scene.boots[host], at)


@checks.register("twice")
def _check_runs(evidence: Evidence) -> Iterator[str]:
    """A request that must not be repeated ran at two upstreams, or twice."""
    repeatable = {
        kind.kind
        for kind in evidence.scene.load.settings.kinds
        if kind.repeatable
    }
    runs: dict[str, int] = {}
    for upstream in evidence.scene.board.all.values():
        for key, count in upstream.runs.items():
            runs[key] = runs.get(key, 0) + count
    for key, count in runs.items():
        if count > 1 and key.partition("/")[0] not in repeatable:
            yield f"{key} ran {count} times"


@checks.register("calm")
def _check_calm(evidence: Evidence) -> Iterator[str]:
    """A request is not served though nothing but planned work went on.

    The calm end of a run is such a time: so this also shows that all is
    served again after the last fault.
    """
    judged = 0
    for request in evidence.scene.load.book.requests:
        ended_at = request.ended_at
        if ended_at is None:
            yield f"{request.key} never ended"
            continue
        since = request.begun_at - _RECOVERY_S
        if not evidence.scene.disturbances.is_all_calm(since, ended_at):
            continue
        judged += 1
        if request.outcome is not records.Outcome.ANSWERED:
            yield f"{request.key}: {request.outcome.value}"
    if judged < _FEWEST_CALM_REQUESTS:
        yield f"only {judged} requests in calm times"


@checks.register("stopping")
def _check_stops(evidence: Evidence) -> Iterator[str]:
    """A host that was told to stop drops packets that still come."""
    reached = {arrival.segment.flow for arrival in evidence.arrivals}
    for probe in evidence.scene.operator.stop_probes:
        since, until = probe.sent_at - CALM_S, probe.sent_at + probes.ANSWER_S
        if not evidence.scene.disturbances.is_all_calm(since, until):
            continue
        if probe.flow not in reached:
            yield f"{probe.host} dropped {probe.flow}"


@checks.register("processes")
def _check_processes(evidence: Evidence) -> Iterator[str]:
    """A host ended by itself, did not stop, or failed to handle an input."""
    yield from evidence.scene.failures
    for host in evidence.scene.deployment.hosts:
        if host.process is None or host.process.poll() is not None:
            yield f"{host.name} does not run"
        path = host.settings.with_suffix(".log")
        for line in path.read_text().splitlines():
            if not _is_log_line(line) or _FAILURE in line:
                yield f"{host.name}: {line}"


def _is_log_line(text: str) -> bool:
    try:
        return "event" in json.loads(text)
    except json.JSONDecodeError:
        return False
