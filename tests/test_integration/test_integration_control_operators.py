"""Operators' changes with live hosts: races, lost answers and the trail."""

from __future__ import annotations

import json
import pathlib
import subprocess
from typing import Any

import trio
import yaml

from persimmonhinge.ctl import exits
from tests.standins import cut_deployment
from tests.support import trios
from tests.test_integration import control_plans

_SERVICE = control_plans.SERVICE
_DELAY_S = 0.7
_Done = subprocess.CompletedProcess[bytes]


def _write(
    deployment: cut_deployment.CutDeployment, name: str, queue: int
) -> str:
    """Writes a file with the contract and another limit."""
    contract = control_plans.make_contract(deployment, queue)
    document = contract.model_dump(mode="json", exclude_none=True)
    path: pathlib.Path = deployment.folder / f"{name}.contract.yaml"
    path.write_text(yaml.safe_dump(document), encoding="utf-8")
    return str(path)


async def _read_trail(
    deployment: cut_deployment.CutDeployment, *filters: str
) -> list[dict[str, Any]]:
    trail = await control_plans.read_json(deployment, "audit", *filters)
    assert isinstance(trail, list)
    return trail


@trios.trio_test
async def test_of_two_operators_one_wins_and_the_other_is_told() -> None:
    """Two operators change one contract at the same moment.

    Both began at the same revision. Exactly one change may be accepted, it
    is what all hosts hold, and the other operator learns who was first and
    what changed. Cause: a write that does not ask what stands there.
    """
    async with cut_deployment.run_cut_deployment(
        control_plans.make_plan()
    ) as deployment:
        base = str(await control_plans.find_revision(deployment))
        results: dict[str, _Done] = {}

        async def apply(operator: str, queue: int) -> None:
            path = _write(deployment, operator, queue)
            results[operator] = await deployment.ctl(
                *("--operator", operator, "contract", "apply", path),
                *("--base", base, "--output", "json"),
                check=False,
            )

        # Each call takes so long that both have read before one writes.
        await deployment.platform.set_faults(delay_s=_DELAY_S)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(apply, "anna", 21)
            nursery.start_soon(apply, "ben", 22)
        await deployment.platform.set_faults(delay_s=0.0)
        codes = {name: done.returncode for name, done in results.items()}
        (winner,) = [
            n for n, code in codes.items() if code == exits.ExitCode.OK
        ]
        (loser,) = [n for n in codes if n != winner]
        accepted = json.loads(results[winner].stdout)["revision"]
        await deployment.pages.wait_holds(
            deployment.names(), _SERVICE, accepted
        )
        trail = await _read_trail(deployment, "--target", _SERVICE)
    assert codes[loser] == exits.ExitCode.CONFLICT, results[loser]
    told = results[loser].stderr.decode() + results[loser].stdout.decode()
    assert winner in told
    assert "queue" in told
    assert [entry["operator"] for entry in trail[1:]] == [winner]


@trios.trio_test
async def test_trail_is_whole_when_answers_are_lost() -> None:
    """An operator's change is made, but the trail or the report lacks it.

    Answers of the platform are lost after writes took effect, writes are
    lost before, and the platform goes down with a write. Each command must
    report what really happened, and the trail must hold each change once.
    Cause: a lost answer taken for a failure, or the write sent again.
    """
    async with cut_deployment.run_cut_deployment(
        control_plans.make_plan()
    ) as deployment:
        host = deployment.names()[0]
        platform = deployment.platform
        await platform.set_faults(drop_answers=1)
        first = await _apply(deployment, 31, "lost-answer")
        await platform.set_faults(drop_writes=1)
        second = await _apply(deployment, 32, "lost-write")
        await platform.set_faults(drop_answers=1)
        drained = await deployment.ctl("host", "drain", host, check=False)
        await deployment.ctl("host", "undrain", host)
        await platform.set_faults(down_after_write=True)
        third = await _apply(deployment, 33, "down")
        await platform.set_faults(down=False)
        again = await _apply(deployment, 33, "down")
        trail = await _read_trail(deployment)
        last = await control_plans.find_revision(deployment)
        await deployment.pages.wait_holds(deployment.names(), _SERVICE, last)
    codes = [done.returncode for done in (first, second, third, again)]
    assert codes == [
        exits.ExitCode.OK,
        exits.ExitCode.OK,
        exits.ExitCode.UNKNOWN,
        exits.ExitCode.OK,
    ], [first, second, third, again]
    assert drained.returncode in (
        exits.ExitCode.OK,
        exits.ExitCode.NOT_IN_FORCE,
    )
    changes = [(entry["action"], entry["target"]) for entry in trail[-5:]]
    assert changes == [
        ("apply-contract", _SERVICE),
        ("apply-contract", _SERVICE),
        ("drain-host", host),
        ("undrain-host", host),
        ("apply-contract", _SERVICE),
    ]
    numbers = [entry["sequence"] for entry in trail]
    assert numbers == list(range(1, len(trail) + 1))
    limits = [
        entry["after"]["limits"]["queue"]
        for entry in trail
        if "limits" in (entry["after"] or {})
    ]
    assert limits[-3:] == [31, 32, 33]
    for entry in trail:
        assert entry["operator"] and entry["request_id"] and entry["revision"]


async def _apply(
    deployment: cut_deployment.CutDeployment, queue: int, request: str
) -> _Done:
    path = _write(deployment, f"limit-{queue}", queue)
    return await deployment.ctl(
        *("contract", "apply", path, "--replace"),
        *("--request-id", request),
        check=False,
    )
