"""Ticket keys are rotated under load, and secrets stay secret."""

from __future__ import annotations

import base64
import json
import pathlib

import trio

from persimmonhinge.client import answer as answers
from persimmonhinge.client import client as clients
from persimmonhinge.client import settings as client_settings
from persimmonhinge.contracts import contract as contracts
from persimmonhinge.ctl import exits
from persimmonhinge.load import executions as execution_logs
from persimmonhinge.platform import opening as platform_opening
from persimmonhinge.store import keys
from tests.standins import cut_deployment
from tests.standins import load_callers
from tests.support import trios
from tests.test_integration import control_plans

_SERVICE = control_plans.SERVICE
_TICKET_LIFE_S = 2.0
_LIMIT_S = 20.0
_POLL_S = 0.3
_FEEDS = 6


@trios.trio_test
async def test_keys_rotate_under_load_and_a_retired_one_is_refused() -> None:
    """Reservations are refused, or feeds stop, while ticket keys rotate.

    A new key is made, mints, and the former one is retired, twice, while
    lots are reserved and feeds are open. No request may be refused and no
    feed may end. A ticket of a retired key runs nothing, though it has not
    expired. Cause: a key that mints or goes before all hosts are ready.
    """
    async with cut_deployment.run_cut_deployment(
        control_plans.make_plan()
    ) as deployment:
        # Hosts have tickets that live for long: what is refused at the end
        # is refused for its key.
        deployment.ctl_ticket_life_s = _TICKET_LIFE_S
        address = deployment.layout.service_address(_SERVICE)
        settings = client_settings.ClientSettings(ack_timeout_s=0.3)
        async with clients.open_client(address, settings=settings) as idle:
            before = await _reserve(idle, "first")
            ticks: dict[int, int] = {}
            async with trio.open_nursery() as nursery:
                for number in range(_FEEDS):
                    nursery.start_soon(_follow, address, number, ticks)
                async with load_callers.run_callers(
                    deployment, _SERVICE, ticket_use_s=_TICKET_LIFE_S / 4
                ) as callers:
                    await callers.wait_answered(20)
                    await _rotate(deployment)
                    await callers.wait_answered(20)
                    await _rotate(deployment)
                    seen = dict(ticks)
                    await callers.wait_answered(20)
                nursery.cancel_scope.cancel()
            after = await _reserve(idle, "with-a-retired-key")
        ran = execution_logs.read_executions(deployment.execution_logs())
    assert before.successful
    assert not callers.causes(), callers.causes()
    assert len(seen) == _FEEDS, seen
    assert all(ticks[number] > seen[number] for number in seen)
    assert not after.successful
    assert [line.key for line in ran].count("first") == 1
    assert "with-a-retired-key" not in [line.key for line in ran]


@trios.trio_test
async def test_new_key_mints_only_when_all_hosts_know_it() -> None:
    """After a rotation, one failure domain refuses the tickets of others.

    It was cut off while the new key was made. The key must not mint before
    the cut heals and all hosts hold it; the operator is told whom it waits
    for, and the same command goes on from there. Cause: a key that mints as
    soon as it is written.
    """
    async with cut_deployment.run_cut_deployment(
        control_plans.make_plan()
    ) as deployment:
        north = deployment.names("north")
        others = deployment.names("middle", "south")
        await deployment.pages.wait_sees(deployment.names(), [*north, *others])
        await deployment.cut_both_ways(north, others)
        await deployment.cut_platform("north")
        held = await deployment.ctl(
            "keys", "rotate", "--wait", "1", check=False
        )
        early = await control_plans.read_json(deployment, "keys", "list")
        await deployment.heal()
        await deployment.ctl("keys", "rotate")
        later = await control_plans.read_json(deployment, "keys", "list")
        async with load_callers.run_callers(deployment, _SERVICE) as callers:
            await callers.wait_answered(30)
    assert held.returncode == exits.ExitCode.NOT_IN_FORCE, held
    assert all(name in held.stderr.decode() for name in north)
    assert [key["state"] for key in early["keys"]] == ["current", "next"]
    assert [key["state"] for key in later["keys"]] == ["former", "current"]
    assert not callers.causes(), callers.causes()


@trios.trio_test
async def test_secrets_are_in_no_log_status_or_metric() -> None:
    """Whoever reads a log or a status page can forge tickets or heartbeats.

    All that a whole deployment writes and shows is searched for its secrets,
    after a rotation and after the keys were damaged in the platform. Cause:
    a record, or an error that quotes its input, that is logged as it is.
    """
    async with cut_deployment.run_cut_deployment(
        control_plans.make_plan()
    ) as deployment:
        deployment.ctl_ticket_life_s = _TICKET_LIFE_S
        async with load_callers.run_callers(deployment, _SERVICE) as callers:
            await callers.wait_answered(20)
            await _rotate(deployment)
        secrets = await _read_secrets(deployment)
        shown = await _read_pages(deployment)
        for command in (("audit",), ("status",), ("keys", "list")):
            done = await deployment.ctl(
                *command, "--output", "json", check=False
            )
            shown.append(done.stdout.decode() + done.stderr.decode())
        shown += [path.read_text() for path in deployment.folder.glob("*.log")]
    assert len(secrets) >= 4
    assert len(shown) > 2 * len(deployment.names())
    for secret in secrets:
        assert not any(secret in text for text in shown)


async def _rotate(deployment: cut_deployment.CutDeployment) -> None:
    """Makes a key that mints, and retires the former one."""
    await deployment.ctl("keys", "rotate")
    with trio.fail_after(_LIMIT_S):
        while True:
            done = await deployment.ctl("keys", "retire", check=False)
            if done.returncode == exits.ExitCode.OK:
                return
            await trio.sleep(_POLL_S)


async def _reserve(client: clients.Client, key: str) -> answers.Answer:
    body = json.dumps({"key": key, "service": _SERVICE}).encode()
    return await client.request(contracts.Method.POST, "/lots/1", body)


async def _follow(
    address: tuple[str, int], number: int, ticks: dict[int, int]
) -> None:
    async with clients.open_client(address) as client:
        async with client.observe("/board") as feed:
            async for notification in feed:
                ticks[number] = json.loads(notification.payload)["tick"]


async def _read_secrets(
    deployment: cut_deployment.CutDeployment,
) -> list[str]:
    """Returns all secrets, in each form in which they might be written."""
    settings = deployment.platform.settings()
    async with platform_opening.open_store(settings) as client:
        found = await client.get(settings.prefix + keys.TICKET_KEYS)
    assert found is not None
    texts = [key["secret"] for key in json.loads(found.value)["keys"]]
    octets = [base64.b64decode(text) for text in texts]
    heartbeat = (deployment.folder / "heartbeat.secret").read_text().strip()
    return [
        *texts,
        *(raw.hex() for raw in octets),
        *(repr(raw)[2:-1] for raw in octets),
        heartbeat,
        *(_read_private_key(path) for path in deployment.folder.glob("*.key")),
    ]


def _read_private_key(path: pathlib.Path) -> str:
    return path.read_text(encoding="utf-8").splitlines()[1]


async def _read_pages(
    deployment: cut_deployment.CutDeployment,
) -> list[str]:
    return [
        await deployment.pages.read(host, page)
        for host in deployment.names()
        for page in ("status", "metrics")
    ]
