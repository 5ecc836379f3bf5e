"""Callers that send requests at random times."""

from __future__ import annotations

import contextlib
import json
import random
import secrets

import trio

from persimmonhinge import ids
from persimmonhinge.client import answer as answers
from persimmonhinge.client import client as clients
from persimmonhinge.load import arrivals
from persimmonhinge.load import book as books
from persimmonhinge.load import request_record
from persimmonhinge.settings import load as load_settings

_RUN_OCTETS = 4
_MOST_CAUSE_OCTETS = 100


class RequestSource:
    """Sends the requests of one load, each at its own time.

    Keys hold a random part that no seed repeats, so that logs of several
    runs may be judged together.
    """

    def __init__(
        self,
        service: load_settings.ServiceLoad,
        load: load_settings.RequestLoad,
        settings: load_settings.LoadSettings,
        book: books.Book,
        stop: trio.Event,
    ) -> None:
        self._service = service
        self._load = load
        self._settings = settings
        self._book = book
        self._stop = stop
        self._run = secrets.token_hex(_RUN_OCTETS)
        self._name = f"{settings.seed}/{service.service}/{load.kind}"
        self._random = random.Random(self._name)

    async def run(self) -> None:
        """Sends all requests and waits for their ends."""
        async with contextlib.AsyncExitStack() as stack:
            callers = [
                await stack.enter_async_context(self._open_caller(number))
                for number in range(self._load.callers)
            ]
            await self._send_all(callers)

    def _open_caller(
        self, number: int
    ) -> contextlib.AbstractAsyncContextManager[clients.Client]:
        return clients.open_client(
            self._service.address.as_pair(),
            settings=self._service.make_client(self._settings.client),
            random_source=random.Random(f"{self._name}/{number}"),
        )

    async def _send_all(self, callers: list[clients.Client]) -> None:
        start_s = trio.current_time()
        times = arrivals.make_arrivals(
            self._load.rate, self._settings.duration_s, self._random
        )
        async with trio.open_nursery() as nursery:
            for number, at_s in enumerate(times):
                await trio.sleep_until(start_s + at_s)
                if self._stop.is_set():
                    break
                caller = self._random.choice(callers)
                resource = self._random.randrange(self._load.numbers)
                self._book.sent += 1
                nursery.start_soon(
                    self._send, caller, number, resource, start_s + at_s
                )

    async def _send(
        self,
        caller: clients.Client,
        number: int,
        resource: int,
        intended_s: float,
    ) -> None:
        key = f"{self._service.service}-{self._load.kind}-{self._run}-{number}"
        answer = await caller.request(
            self._load.method,
            self._load.path.replace("{number}", str(resource)),
            self._make_body(key),
            deadline_s=self._load.deadline_s,
        )
        self._book.add(
            request_record.RequestRecord(
                service=ids.ServiceName(self._service.service),
                kind=self._load.kind,
                key=key,
                outcome=answer.outcome,
                successful=answer.successful,
                answer_key=_read_key(answer),
                cause=_read_cause(answer),
                latency_s=trio.current_time() - intended_s,
            )
        )

    def _make_body(self, key: str) -> bytes:
        body = {"key": key, "service": self._service.service}
        text = json.dumps(body)
        missing = self._load.body_octets - len(text)
        if missing > 0:
            text = json.dumps({**body, "filling": "x" * missing})
        return text.encode()


def _read_cause(answer: answers.Answer) -> str:
    """Returns why a request has no success; empty if it has."""
    if answer.successful:
        return ""
    if answer.code is None:
        return "no answer"
    text = answer.payload[:_MOST_CAUSE_OCTETS].decode(errors="replace")
    return f"{answer.code.dotted} {text}".strip()


def _read_key(answer: answers.Answer) -> str:
    """Returns the key of an answer; empty if it has none."""
    if not answer.successful:
        return ""
    try:
        document = json.loads(answer.payload)
    except ValueError:
        return ""
    return str(document.get("key", "")) if isinstance(document, dict) else ""
