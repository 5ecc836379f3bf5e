"""A deployment whose callers' homes are known, and the judge of what ran.

The judge is the log that upstreams write, never the word of a host.
"""

from __future__ import annotations

import collections
from collections.abc import AsyncIterator
from collections.abc import Iterable
from collections.abc import Sequence
import contextlib
import dataclasses
import json
import random
from typing import Any

import trio

from persimmonhinge.load import executions as execution_logs
from persimmonhinge.settings import entry
from tests.standins import cut_deployment
from tests.standins import plan as plans
from tests.standins import raw_caller as callers
from tests.standins import raw_request as requests

SERVICE = "floor"
_HOSTS = 4
_SLOTS = 16
_LIMIT_S = 30.0
_POLL_S = 0.02
_REPEAT_S = 0.15
# After the last answer: copies that are still under way must run nothing.
_AFTER_S = 1.0
_MOST_TRIES = 3
_DATAGRAM = trio.socket.SOCK_DGRAM
# Part of the copies that are retries by the caller, not the same datagram.
_NEW_MESSAGE_ID = 0.5

Outcome = requests.Outcome


@dataclasses.dataclass
class Tally:
    """How many keys ended how, by what their callers were told last.

    Attributes:
        answered: Keys with an upstream's answer.
        refused: Keys of which each request was refused as not run.
        unknown: Other keys.
        disputed: Answered keys of which another answer said "unknown".
        retried: Requests sent again because the first was refused.
        ran: Keys that ran.
    """

    answered: int = 0
    refused: int = 0
    unknown: int = 0
    disputed: int = 0
    retried: int = 0
    ran: int = 0


class OnceScene:
    """Callers, hosts and upstreams of one service.

    Attributes:
        deployment: The processes.
        callers: Callers that were opened.
    """

    def __init__(
        self,
        deployment: cut_deployment.CutDeployment,
        nursery: trio.Nursery,
        stack: contextlib.ExitStack,
    ) -> None:
        self.deployment = deployment
        self.callers: list[callers.RawCaller] = []
        self._stack = stack
        self._nursery = nursery
        self._seed = deployment.plan.seed
        self._random = random.Random(self._seed)

    def address(self, host: str, service: str = SERVICE) -> callers.Address:
        """Returns where a host takes the packets of a service."""
        (planned,) = (h for h in self.deployment.plan.hosts if h.name == host)
        _, port = self.deployment.layout.service_address(service)
        return (planned.address, port)

    def addresses(self, service: str = SERVICE) -> list[callers.Address]:
        """Returns where all hosts take the packets of a service."""
        return [self.address(host, service) for host in self.deployment.names()]

    async def explain(
        self, caller: callers.Address, service: str = SERVICE, host: str = ""
    ) -> dict[str, Any]:
        """Returns what a host explains of a flow."""
        page = f"explain?service={service}&caller={caller[0]}:{caller[1]}"
        name = host or self.deployment.names()[0]
        text = await self.deployment.pages.read(name, page)
        explained: dict[str, Any] = json.loads(text)
        return explained

    async def find_keepers(self) -> dict[str, str]:
        """Returns the keeper of each upstream."""
        explained = await self.explain(("127.0.0.1", 1))
        return {u["upstream"]: u["keeper"] for u in explained["upstreams"]}

    async def find_spare(self) -> str:
        """Returns a host that keeps no upstream."""
        keepers = set((await self.find_keepers()).values())
        return next(h for h in self.deployment.names() if h not in keepers)

    async def open_caller(self, port: int = 0) -> callers.RawCaller:
        """Opens a caller, with whatever home."""
        self._seed += 1
        socket = self._stack.enter_context(trio.socket.socket(type=_DATAGRAM))
        caller = await callers.make_raw_caller(socket, self._seed, port)
        self._nursery.start_soon(caller.run)
        self.callers.append(caller)
        return caller

    async def open_callers(
        self, count: int, home: str
    ) -> list[callers.RawCaller]:
        """Opens callers that a host is home of, each with a ticket of it."""
        found: list[callers.RawCaller] = []
        while len(found) < count:
            caller = await self.open_caller()
            if (await self.explain(caller.address))["home"] == home:
                await caller.fetch_ticket([self.address(home)])
                found.append(caller)
        return found

    async def reserve_all(
        self, some: Iterable[callers.RawCaller], host: str, prefix: str = "lot"
    ) -> list[str]:
        """Sends one reservation of each caller to a host; returns the keys."""
        keys = []
        for number, caller in enumerate(some):
            keys.append(f"{prefix}-{number}")
            await caller.reserve(keys[-1], self.address(host))
        return keys

    async def begin_lots(
        self, count: int
    ) -> tuple[str, list[callers.RawCaller]]:
        """Opens callers, and waits until a reservation of each runs.

        Returns:
            Their home, which keeps no upstream, and the callers.

        Raises:
            TooSlowError: The reservations have not begun to run.
        """
        home = await self.find_spare()
        opened = await self.open_callers(count, home)
        await self.reserve_all(opened, home)
        await self.wait_runs(count)
        return home, opened

    async def wait_runs(self, count: int) -> collections.Counter[str]:
        """Waits until so many requests have begun to run at upstreams.

        Raises:
            TooSlowError: They have not.
        """
        with trio.fail_after(_LIMIT_S):
            while (runs := self.count_runs()).total() < count:
                await trio.sleep(_POLL_S)
        return runs

    def read_log(self) -> list[execution_logs.Execution]:
        """Returns the log of all upstreams."""
        return execution_logs.read_executions(self.deployment.execution_logs())

    def count_runs(self) -> collections.Counter[str]:
        """Returns how often each key ran."""
        return collections.Counter(
            str(line.key)
            for line in self.read_log()
            if line.kind == execution_logs.RUN
        )

    async def find_busiest(self, *domains: str) -> tuple[str, int]:
        """Returns the keeper through which most ran, and how many.

        Args:
            domains: Failure domains to look in; none for all.
        """
        runs = collections.Counter(
            str(line.upstream)
            for line in self.read_log()
            if line.kind == execution_logs.RUN
        )
        names = self.deployment.names(*domains)
        kept = {
            keeper: runs[upstream]
            for upstream, keeper in (await self.find_keepers()).items()
            if keeper in names
        }
        keeper = max(kept, key=lambda name: kept[name])
        assert kept[keeper] > 0, runs
        return keeper, kept[keeper]

    async def settle(
        self,
        hosts: Sequence[str] | None = None,
        *,
        retry: bool = True,
        strict: bool = True,
        after_s: float = _AFTER_S,
    ) -> Tally:
        """Repeats all requests to hosts at random until all have outcomes.

        Half of the copies are the same datagram, half are retries with a new
        message id.

        A caller whose request was refused as not run sends the same key
        again under a new ticket, as people do, while copies of the former
        request still arrive. Then all is judged.

        Args:
            hosts: Hosts that get copies; None for all.
            retry: True to send what was refused again.
            strict: False if other callers send requests, too.
            after_s: How long copies go on once all is answered, seconds.

        Raises:
            TooSlowError: A request got no answer.
            AssertionError: A promise is broken.
        """
        names = hosts or self.deployment.names()
        places = [self.address(name) for name in names]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._spray, places)
            with trio.fail_after(_LIMIT_S):
                async with trio.open_nursery() as waiting:
                    for caller in self.callers:
                        waiting.start_soon(_finish, caller, places, retry)
            await trio.sleep(after_s)
            nursery.cancel_scope.cancel()
        return self.judge(strict=strict)

    def judge(self, *, strict: bool = True) -> Tally:
        """Compares every answer ever given with what upstreams ran.

        Args:
            strict: False if other callers send requests, too.

        Raises:
            AssertionError: A promise is broken.
        """
        runs = self.count_runs()
        by_key: dict[str, list[requests.RawRequest]] = {}
        for caller in self.callers:
            caller.check_strays()
            for request in caller.requests:
                by_key.setdefault(request.key, []).append(request)
        tally = Tally()
        for key, sent in by_key.items():
            _judge_key(key, sent, runs[key], tally)
        assert not strict or set(runs) <= set(by_key), runs
        assert not any(
            line.kind == execution_logs.MISROUTED for line in self.read_log()
        )
        return tally

    async def _spray(self, places: Sequence[callers.Address]) -> None:
        """Repeats all requests to hosts at random, until cancelled."""
        source = self._random
        while True:
            for caller in self.callers:
                for request in list(caller.requests):
                    data = request.octets
                    if source.random() < _NEW_MESSAGE_ID:
                        data = request.change_message_id(source)
                    await caller.send(data, source.choice(places))
            await trio.sleep(_REPEAT_S)


async def _finish(
    caller: callers.RawCaller, places: Sequence[callers.Address], retry: bool
) -> None:
    for _ in range(_MOST_TRIES):
        if not caller.requests:
            return
        request = caller.requests[-1]
        while not request.answers:
            await trio.sleep(_POLL_S)
        if not retry or not request.is_refused:
            return
        await caller.fetch_ticket(places)
        await caller.reserve(request.key, places[0])


def _judge_key(
    key: str, sent: list[requests.RawRequest], runs: int, tally: Tally
) -> None:
    told = {request.octets.hex()[:12]: request.describe() for request in sent}
    text = f"{key} ran {runs} times: {told}"
    assert runs <= 1, text
    tally.ran += runs
    tally.retried += len(sent) - 1
    answered = [request for request in sent if request.is_answered]
    refused = [request for request in sent if request.is_refused]
    assert not any(request.is_refused for request in answered), text
    assert len(answered) <= 1, text
    if answered:
        assert runs == 1, text
        assert all(_read_keys(request) <= {key} for request in answered), text
        tally.answered += 1
        tally.disputed += any(request.is_unknown for request in answered)
    elif len(refused) == len(sent):
        assert runs == 0, text
        tally.refused += 1
    else:
        tally.unknown += 1


def _read_keys(request: requests.RawRequest) -> set[str]:
    """Returns the keys that successful answers are for."""
    return {
        json.loads(answer.payload)["key"]
        for answer in request.answers
        if answer.code.is_successful()
    }


def make_plan(
    run_time_ms: int = 40,
    hosts: int = _HOSTS,
    seed: int = 1,
    flows: entry.FlowSettings | None = None,
) -> plans.DeploymentPlan:
    """Returns three failure domains; the first has a spare host.

    Args:
        run_time_ms: How long a reservation runs, milliseconds.
        hosts: Number of hosts.
        seed: Seed of callers and of the fabric.
        flows: Settings of homes.
    """
    upstreams = plans.make_upstreams(SERVICE, (1, 1, 1), _SLOTS)
    classes = (plans.FEED_CLASS, plans.READ_CLASS, plans.LOT_CLASS)
    return plans.DeploymentPlan(
        plans.make_hosts(hosts),
        (plans.ServicePlan(SERVICE, upstreams, classes),),
        seed=seed,
        flows=flows or entry.FlowSettings(),
        upstream_options=("--run-time-ms", str(run_time_ms)),
    )


@contextlib.asynccontextmanager
async def run_scene(
    plan: plans.DeploymentPlan,
) -> AsyncIterator[OnceScene]:
    """Runs a deployment whose hosts all know each other."""
    async with cut_deployment.run_cut_deployment(plan) as deployment:
        names = deployment.names()
        await deployment.pages.wait_sees(names, names)
        with contextlib.ExitStack() as stack:
            async with trio.open_nursery() as nursery:
                yield OnceScene(deployment, nursery, stack)
                nursery.cancel_scope.cancel()
