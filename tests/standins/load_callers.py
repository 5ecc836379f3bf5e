"""Callers that reserve lots all the while, judged by the upstreams' logs."""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib
import json
import operator
import random

import trio

from persimmonhinge import ids
from persimmonhinge.client import answer as answers
from persimmonhinge.client import client as clients
from persimmonhinge.client import settings as client_settings
from persimmonhinge.contracts import contract as contracts
from persimmonhinge.load import executions as execution_logs
from persimmonhinge.load import request_record
from persimmonhinge.load import verdict as verdicts
from tests.standins import processes

_DEADLINE_S = 5.0
_PAUSE_S = 0.02
_POLL_S = 0.05
_SETTINGS = client_settings.ClientSettings(
    ack_timeout_s=0.3, retry_s=0.5, deadline_s=_DEADLINE_S
)


class LoadCallers:
    """Sends reservations, one after the other from each caller.

    Attributes:
        records: What the callers saw.
    """

    def __init__(
        self,
        deployment: processes.Deployment,
        service: str,
        callers: int,
        settings: client_settings.ClientSettings,
    ) -> None:
        self.records: list[request_record.RequestRecord] = []
        self._deployment = deployment
        self._service = service
        self._callers = callers
        self._ended = [0] * callers
        self._settings = settings

    async def run(self) -> None:
        """Sends until cancelled."""
        async with trio.open_nursery() as nursery:
            for number in range(self._callers):
                nursery.start_soon(self._send_all, number)

    async def wait_answered(self, more: int) -> None:
        """Waits until so many more requests have had success.

        Raises:
            TooSlowError: They have not within half a minute.
        """
        wanted = self.count(answers.Outcome.ANSWERED) + more
        with trio.fail_after(30):
            while self.count(answers.Outcome.ANSWERED) < wanted:
                await trio.sleep(_POLL_S)

    async def wait_each(self) -> None:
        """Waits until each caller has ended a request that it began by now.

        Raises:
            TooSlowError: They have not within half a minute.
        """
        # The first that ends may have begun before.
        wanted = [ended + 2 for ended in self._ended]
        with trio.fail_after(30):
            while any(map(operator.lt, self._ended, wanted)):
                await trio.sleep(_POLL_S)

    def count(self, outcome: answers.Outcome) -> int:
        """Returns how many requests ended so."""
        return sum(record.outcome is outcome for record in self.records)

    def causes(self) -> dict[str, int]:
        """Returns why requests had no success, with their numbers."""
        causes: dict[str, int] = {}
        for record in self.records:
            if not record.successful:
                causes[record.cause] = causes.get(record.cause, 0) + 1
        return causes

    def check(self) -> verdicts.Verdict:
        """Judges all requests that ended.

        Raises:
            AssertionError: A promise was broken.
        """
        executions = execution_logs.read_executions(
            self._deployment.execution_logs()
        )
        verdict = verdicts.judge(self.records, executions)
        assert verdict.clean, verdict
        return verdict

    async def _send_all(self, caller: int) -> None:
        address = self._deployment.layout.service_address(self._service)
        source = random.Random(f"{self._service}/{caller}")
        async with clients.open_client(
            address, settings=self._settings, random_source=source
        ) as client:
            number = 0
            while True:
                number += 1
                key = f"{self._service}-{caller}-{number}"
                await self._reserve(client, key)
                self._ended[caller] += 1
                await trio.sleep(_PAUSE_S)

    async def _reserve(self, client: clients.Client, key: str) -> None:
        began = trio.current_time()
        body = json.dumps({"key": key, "service": self._service}).encode()
        answer = await client.request(
            contracts.Method.POST, f"/lots/{key}", body
        )
        code = answer.code.dotted if answer.code else "no answer"
        text = answer.payload[:100].decode(errors="replace")
        self.records.append(
            request_record.RequestRecord(
                service=ids.ServiceName(self._service),
                kind="lots",
                key=key,
                outcome=answer.outcome,
                successful=answer.successful,
                answer_key=json.loads(text)["key"] if answer.successful else "",
                cause="" if answer.successful else f"{code} {text}",
                latency_s=trio.current_time() - began,
            )
        )


@contextlib.asynccontextmanager
async def run_callers(
    deployment: processes.Deployment,
    service: str,
    callers: int = 6,
    ticket_use_s: float = 60.0,
) -> AsyncIterator[LoadCallers]:
    """Runs callers; judges what they saw when the block has ended.

    Requests under way at the end are given up and not judged, but for the
    log of upstreams, which shows what ran twice.
    """
    settings = _SETTINGS.model_copy(update={"ticket_use_s": ticket_use_s})
    running = LoadCallers(deployment, service, callers, settings)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(running.run)
        yield running
        nursery.cancel_scope.cancel()
    running.check()
