"""Callers that check each answer against what they asked for."""

from __future__ import annotations

import json
import random

import trio

from persimmonhinge.client import answer as answers
from persimmonhinge.client import client as clients
from persimmonhinge.client import settings as client_settings
from persimmonhinge.contracts import contract as contracts

Address = tuple[str, int]
_SETTINGS = client_settings.ClientSettings(
    ack_timeout_s=0.3, retry_s=0.5, deadline_s=20.0
)


class AnswerChecks:
    """Asks and checks; all callers draw the same tokens and message ids.

    Attributes:
        checked: Successful answers, all of them whole and the right one.
        failed: What ended otherwise, for people.
        keys: Keys of all requests that run at most once.
    """

    def __init__(self, address: Address, service: str, seed: int) -> None:
        self.checked = 0
        self.failed: list[str] = []
        self.keys: list[str] = []
        self._address = address
        self._service = service
        self._seed = seed

    async def run(self, callers: int, rounds: int, octets: int) -> None:
        """Lets callers fetch, reserve and upload, all at once.

        Args:
            callers: How many.
            rounds: How often each of them does all three.
            octets: Size of what is fetched and uploaded.
        """
        async with trio.open_nursery() as nursery:
            for caller in range(callers):
                nursery.start_soon(self._call, caller, rounds, octets)

    async def _call(self, caller: int, rounds: int, octets: int) -> None:
        async with clients.open_client(
            self._address,
            settings=_SETTINGS,
            random_source=random.Random(self._seed),
        ) as client:
            for number in range(rounds):
                name = f"{caller}-{number}"
                # Sizes differ, so that a crossed answer shows.
                await self._fetch(client, octets + 100 * caller + number)
                await self._reserve(client, f"lot-{name}", 0)
                await self._reserve(client, f"upload-{name}", octets + caller)

    async def _fetch(self, client: clients.Client, octets: int) -> None:
        answer = await client.request(contracts.Method.GET, f"/large/{octets}")
        line = f"{self._service} ".encode()
        whole = (line * (octets // len(line) + 1))[:octets]
        if not answer.successful:
            self._fail(f"fetch {octets}", answer)
            return
        assert answer.payload == whole, f"{octets}: {len(answer.payload)}"
        self.checked += 1

    async def _reserve(
        self, client: clients.Client, key: str, octets: int
    ) -> None:
        self.keys.append(key)
        body = json.dumps({"key": key, "pad": "x" * octets}).encode()
        answer = await client.request(
            contracts.Method.POST, f"/lots/{key}", body
        )
        if not answer.successful:
            self._fail(key, answer)
            return
        document = json.loads(answer.payload)
        assert document["key"] == key, f"{key}: {document}"
        assert document["octets"] == len(body), f"{key}: {document}"
        self.checked += 1

    def _fail(self, what: str, answer: answers.Answer) -> None:
        code = answer.code.dotted if answer.code else "no answer"
        text = answer.payload[:60].decode(errors="replace")
        self.failed.append(f"{what}: {answer.outcome.value} {code} {text}")
