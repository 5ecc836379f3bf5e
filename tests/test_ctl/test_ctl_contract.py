"""Tests of `contract ...`; races and lost answers with real processes."""

from __future__ import annotations

from typing import Any

import trio
import yaml

from tests.standins import platform_ctl
from tests.standins import platform_operators
from tests.support import trios


def make_document(slots: int = 2) -> dict[str, Any]:
    contract = platform_operators.make_contract(slots=slots)
    return contract.model_dump(mode="json")


@trios.trio_test
async def test_two_operators_race_on_one_contract() -> None:
    """Two operators change one contract at once; both are told "done".

    Both edit revision N and apply at the same moment; the second write goes
    over the first, which is lost. Cause: a write that is not tied to the
    revision it was made from.
    """
    async with platform_ctl.run_ctl() as ctl:
        path = ctl.write("floor.yaml", make_document())
        made = (await ctl.run_process("contract", "apply", path)).read()
        head = f"# revision: {made['revision']}\n"
        ended: dict[str, platform_ctl.Ended] = {}

        async def apply(operator: str, slots: int) -> None:
            name = f"{operator}.yaml"
            file = ctl.write(name, make_document(slots), head)
            ended[operator] = await ctl.run_process(
                "--operator", operator, "contract", "apply", file
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(apply, "anna", 3)
            nursery.start_soon(apply, "ben", 4)
        stands = (await ctl.run_process("contract", "get", "floor")).read()
    codes = {operator: done.code for operator, done in ended.items()}
    assert sorted(codes.values()) == [0, 3], ended
    winner = min(codes, key=lambda operator: codes[operator])
    loser = max(codes, key=lambda operator: codes[operator])
    assert stands["operator"] == winner
    assert stands["revision"] == ended[winner].read()["revision"]
    assert f"by {winner}" in ended[loser].errors
    assert "upstreams.floor-1.slots: 2 ->" in ended[loser].errors


@trios.trio_test
async def test_lost_answer_is_resolved_to_what_happened() -> None:
    """An operator is told that a change failed, though it is in force.

    The platform applies the write and its answer is lost. Cause: a missing
    answer is taken for a refusal, or the write is made a second time.
    """
    async with platform_ctl.run_ctl() as ctl:
        await ctl.platform.set_faults(drop_answers=1)
        path = ctl.write("floor.yaml", make_document())
        done = await ctl.run_process("contract", "apply", path)
        counts = await ctl.platform.get_counts()
        trail = (await ctl.run_process("audit")).read()
    assert done.code == 0, done.errors
    assert counts["txn"] == 1
    assert [entry["revision"] for entry in trail] == [done.read()["revision"]]


@trios.trio_test
async def test_unknown_outcome_is_learned_by_the_request_id() -> None:
    """An operator repeats a command and the change is made twice.

    The answer is lost and the platform stays down past the limit of the
    command, which ends with 6; the operator repeats it with its id.
    """
    async with platform_ctl.run_ctl() as ctl:
        ctl.configure(change_limit_s=0.5)
        path = ctl.write("floor.yaml", make_document())
        await ctl.run_process("contract", "apply", path)
        await ctl.platform.set_faults(down_after_write=True)
        delete = ("contract", "delete", "floor", "--request-id", "one")
        unknown = await ctl.run_process(*delete)
        await ctl.platform.set_faults(down=False)
        done = await ctl.run_process(*delete)
        trail = (
            await ctl.run_process("audit", "--action", "delete-contract")
        ).read()
    assert unknown.code == 6, unknown
    assert "--request-id one" in unknown.errors
    assert done.code == 0, done.errors
    assert [entry["request_id"] for entry in trail] == ["one"]
    assert done.read()["revision"] == trail[0]["revision"]


@trios.trio_test
async def test_contract_is_deleted_and_created_again() -> None:
    async with platform_ctl.run_ctl() as ctl:
        path = ctl.write("floor.yaml", make_document())
        made = (await ctl.run_process("contract", "apply", path)).read()
        deleted = (await ctl.run_process("contract", "delete", "floor")).read()
        missing = await ctl.run_process("contract", "get", "floor")
        again = (await ctl.run_process("contract", "apply", path)).read()
        listed = (await ctl.run_process("contract", "list")).read()
    assert made["revision"] < deleted["revision"] < again["revision"]
    assert missing.code == 1
    assert [version["revision"] for version in listed] == [again["revision"]]


@trios.trio_test
async def test_file_that_get_writes_can_be_edited_and_applied() -> None:
    async with platform_ctl.run_ctl() as ctl:
        path = ctl.write("floor.yaml", make_document())
        await ctl.run("contract", "apply", path)
        written = await ctl.run_plain("contract", "get", "floor")
        edited = written.output.replace("slots: 2", "slots: 7")
        (ctl.folder / "edited.yaml").write_text(edited)
        path = str(ctl.folder / "edited.yaml")
        different = (await ctl.run("contract", "diff", path)).read()
        done = await ctl.run("contract", "apply", path)
        same = (await ctl.run("contract", "diff", path)).read()
        again = (await ctl.run("contract", "apply", path)).read()
    assert yaml.safe_load(edited)["upstreams"][0]["slots"] == 7
    assert "upstreams.floor-1.slots: 2 -> 7" in different["differences"]
    assert done.code == 0, done.errors
    assert same["differences"] == []
    assert not again["changed"]


@trios.trio_test
async def test_invalid_file_and_missing_platform_have_their_codes() -> None:
    async with platform_ctl.run_ctl() as ctl:
        good = ctl.write("good.yaml", make_document())
        document = make_document()
        document["upstreams"][0]["slots"] = 0
        bad = ctl.write("bad.yaml", document)
        refused = await ctl.run_plain("contract", "check", bad)
        checked = await ctl.run_plain("contract", "check", good)
        usage = await ctl.run_plain("contract", "apply")
        ctl.configure(colour="red")
        settings = await ctl.run_plain("contract", "list")
        ctl.configure()
        await ctl.platform.set_faults(down=True)
        down = await ctl.run_plain("contract", "apply", good)
        offline = await ctl.run_plain("contract", "check", good, "--offline")
    assert refused.code == 1
    assert "bad.yaml" in refused.errors
    assert "upstreams.0.slots: 0" in refused.errors
    assert refused.output == ""
    assert (checked.code, usage.code, settings.code) == (0, 2, 2)
    assert "colour" in settings.errors
    assert (down.code, offline.code) == (4, 0)


@trios.trio_test
async def test_apply_waits_until_all_hosts_that_answer_hold_it() -> None:
    async with platform_ctl.run_ctl() as ctl:
        path = ctl.write("floor.yaml", make_document())
        async with platform_ctl.run_hosts(ctl, "one", "two") as hosts:
            gone = platform_ctl.FakeHost("gone")
            await gone.enter(ctl, 9)
            short = await ctl.run("contract", "apply", path, "--wait", "0.5")
            revision = short.read()["revision"]
            hosts[0].status["contracts"]["floor"] = revision
            behind = await ctl.run("contract", "rollout", "floor")
            hosts[1].status["contracts"]["floor"] = revision
            full = await ctl.run("contract", "apply", path, "--wait", "5")
            shown = await ctl.run("contract", "rollout", "floor")
    assert (short.code, behind.code, full.code) == (5, 5, 0)
    states = {host["host"]: host["state"] for host in shown.read()["hosts"]}
    assert states == {
        "one": "in-force",
        "two": "in-force",
        "gone": "no-answer",
    }
    assert "1 hosts gave no answer" in full.errors


@trios.trio_test
async def test_delete_is_in_force_on_a_host_that_never_knew() -> None:
    async with platform_ctl.run_ctl() as ctl:
        path = ctl.write("floor.yaml", make_document())
        made = (await ctl.run("contract", "apply", path)).read()
        async with platform_ctl.run_hosts(ctl, "old", "new") as (old, _):
            old.status["contracts"]["floor"] = made["revision"]
            short = await ctl.run("contract", "delete", "floor", "--wait", "0")
            old.status["contracts"]["floor"] = short.read()["revision"]
            full = await ctl.run("contract", "rollout", "floor")
    assert (short.code, full.code) == (5, 0)


@trios.trio_test
async def test_change_after_a_restore_is_not_reported_as_in_force() -> None:
    """An operator is told "in force", and the hosts go on with the old one.

    The platform is restored from an older copy and gives revisions again
    that the hosts passed long ago; they refuse the operator's change, as
    they hold a newer revision. Cause: revisions compared by number alone.
    """
    async with platform_ctl.run_ctl() as ctl:
        await ctl.platform.take_copy()
        path = ctl.write("floor.yaml", make_document())
        await ctl.run("contract", "apply", path)
        changed = ctl.write("changed.yaml", make_document(3))
        last = await ctl.run("contract", "apply", changed, "--replace")
        async with platform_ctl.run_hosts(ctl, "one") as (host,):
            await ctl.platform.restore()
            await host.enter_again(ctl)
            held = last.read()["revision"] + 10
            host.status["contracts"]["floor"] = held
            done = await ctl.run("contract", "apply", path, "--wait", "5")
            status = await ctl.run("status")
    assert (done.code, status.code) == (5, 5)
    assert done.read()["rollout"]["hosts"][0]["state"] == "ahead"
    assert "restored from an older copy" in done.errors


@trios.trio_test
async def test_other_contract_at_the_same_revision_is_not_in_force() -> None:
    async with platform_ctl.run_ctl() as ctl:
        path = ctl.write("floor.yaml", make_document())
        async with platform_ctl.run_hosts(ctl, "one") as (host,):
            done = await ctl.run("contract", "apply", path)
            host.status["contracts"]["floor"] = done.read()["revision"]
            older = await ctl.run("contract", "rollout", "floor")
            host.status["contract_digests"] = {"floor": "of another text"}
            other = await ctl.run("contract", "rollout", "floor")
            status = await ctl.run("status")
    assert (older.code, other.code, status.code) == (0, 5, 5)
    assert other.read()["hosts"][0]["state"] == "other"
    assert "which the platform gave twice" in other.errors


@trios.trio_test
async def test_outage_after_a_change_does_not_look_like_one_before_it() -> None:
    """An operator is told "nothing changed", though the change is made.

    The change is written, the command waits for the hosts, and the platform
    goes down then. Cause: one exit code for any outage.
    """
    async with platform_ctl.run_ctl() as ctl:
        path = ctl.write("floor.yaml", make_document())
        async with platform_ctl.run_hosts(ctl, "one") as (host,):

            async def break_platform() -> None:
                await ctl.platform.set_faults(down=True)

            host.before_status = break_platform  # type: ignore[method-assign]
            done = await ctl.run("contract", "apply", path, "--wait", "0")
    assert done.code == 5, done
    assert done.read()["changed"]
    assert "the change is made" in done.errors
