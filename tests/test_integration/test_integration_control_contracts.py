"""An accepted contract is in force on all hosts and never reverts."""

from __future__ import annotations

import trio

from persimmonhinge import ids
from persimmonhinge.contracts import stored
from persimmonhinge.ctl import exits
from persimmonhinge.platform import opening as platform_opening
from persimmonhinge.store import keys
from persimmonhinge.store import port
from tests.standins import cut_deployment
from tests.standins import load_callers
from tests.standins import revision_watch
from tests.support import trios
from tests.test_integration import control_plans

_SERVICE = control_plans.SERVICE
_OLDER = "control_records_refused_total{cause=older}"
# Longer than the time between two changes that are written without a command,
# and shorter than the time after which a silent link is closed (2.4 s): news
# that waits on a link that is closed never comes.
_GAP_S = 0.3
_DELAY_S = 0.9
_ROUNDS = 8


async def _apply(deployment: cut_deployment.CutDeployment, queue: int) -> int:
    """Applies the contract with another limit; returns its revision."""
    contract = control_plans.make_contract(deployment, queue)
    await deployment.apply(contract)
    return await control_plans.find_revision(deployment)


async def _write(deployment: cut_deployment.CutDeployment, queue: int) -> int:
    """Writes the contract at once; returns its revision."""
    value = stored.StoredContract(
        contract=control_plans.make_contract(deployment, queue),
        request_id=f"request-{queue}",
        operator="test",
        written_at="",
    )
    settings = deployment.platform.settings()
    key = keys.contract_key(settings.prefix, ids.ServiceName(_SERVICE))
    write = port.Write(key, value.model_dump_json().encode())
    async with platform_opening.open_store(settings) as client:
        revision = await client.write_if((), (write,))
    assert revision is not None
    return revision


async def _count_older(
    deployment: cut_deployment.CutDeployment, hosts: list[str]
) -> int:
    """Returns how many old records these hosts have refused."""
    statuses = [await deployment.pages.status(host) for host in hosts]
    return sum(status["counts"].get(_OLDER, 0) for status in statuses)


@trios.trio_test
async def test_hosts_that_were_paused_or_cut_off_bring_nothing_back() -> None:
    """Buyers are served by an old contract after an operator changed it.

    One host is paused and one failure domain is cut off from all when a new
    contract is accepted. They come back with the old one and tell it to the
    others. Cause: what is heard last taken for what is newest.
    """
    async with cut_deployment.run_cut_deployment(
        control_plans.make_plan()
    ) as deployment:
        hosts = deployment.names()
        await deployment.pages.wait_sees(hosts, hosts)
        watched = revision_watch.watch_revisions(deployment.pages, hosts)
        north = deployment.names("north")
        paused = deployment.names("middle")[0]
        others = [host for host in hosts if host not in (*north, paused)]
        async with watched:
            await deployment.cut_both_ways(
                north, deployment.names("middle", "south")
            )
            await deployment.cut_platform("north")
            deployment.pause_host(paused)
            await deployment.pages.wait_sees(others, others)
            first = await _apply(deployment, 11)
            await deployment.pages.wait_holds(others, _SERVICE, first)
            status = await deployment.pages.status(north[0])
            assert status["contracts"][_SERVICE] < first
            deployment.resume_host(paused)
            await deployment.heal()
            await deployment.pages.wait_sees(hosts, hosts)
            await deployment.pages.wait_holds(hosts, _SERVICE, first)
            second = await _apply(deployment, 12)
            await deployment.pages.wait_holds(hosts, _SERVICE, second)
        rollout = await control_plans.read_json(
            deployment, "contract", "rollout", _SERVICE
        )
    states = {host["host"]: host["state"] for host in rollout["hosts"]}
    assert states == dict.fromkeys(hosts, "in-force")


@trios.trio_test
async def test_news_that_comes_late_brings_nothing_back() -> None:
    """For some seconds, some hosts serve by a contract that was replaced.

    What one host sends is slow on its way. Two changes are accepted, one
    after the other; the others have both when the first one arrives from the
    slow host. They must refuse it as older. Cause: what is heard last taken
    for what is newest.
    """
    async with cut_deployment.run_cut_deployment(
        control_plans.make_plan()
    ) as deployment:
        hosts = deployment.names()
        slow, *others = hosts
        await deployment.pages.wait_sees(hosts, hosts)
        async with revision_watch.watch_revisions(deployment.pages, hosts):
            await deployment.delay_streams(slow, _DELAY_S)
            # Whether the slow host passes the first change on to a host that
            # has the second by then is up to chance.
            for queue in range(11, 11 + 2 * _ROUNDS, 2):
                await _write(deployment, queue)
                await trio.sleep(_GAP_S)
                newest = await _write(deployment, queue + 1)
                await deployment.pages.wait_holds(hosts, _SERVICE, newest)
                await trio.sleep(2 * _DELAY_S)
                refused = await _count_older(deployment, others)
                if refused:
                    break
    assert refused, "no old news came"


@trios.trio_test
async def test_restored_platform_takes_no_contract_back() -> None:
    """After a restore of the platform, hosts serve by an old contract.

    The platform goes back to a copy made before the last change. Hosts must
    keep what was in force, tell the operator, and follow again once the
    platform has passed what they hold. Cause: the platform taken for right
    whatever it says.
    """
    async with cut_deployment.run_cut_deployment(
        control_plans.make_plan()
    ) as deployment:
        hosts = deployment.names()
        await deployment.platform.take_copy()
        async with revision_watch.watch_revisions(deployment.pages, hosts):
            await _raise_revision(deployment, await _apply(deployment, 10))
            held = await _apply(deployment, 11)
            await deployment.pages.wait_holds(hosts, _SERVICE, held)
            await deployment.platform.restore()
            await _wait_went_back(deployment)
            contract = control_plans.make_contract(deployment, 12)
            await deployment.apply(contract)
            refused = await deployment.ctl(
                "contract", "rollout", _SERVICE, check=False
            )
            await deployment.pages.wait_holds(hosts, _SERVICE, held)
            await _raise_revision(deployment, held)
            newest = await _apply(deployment, 13)
            await deployment.pages.wait_holds(hosts, _SERVICE, newest)
    assert refused.returncode == exits.ExitCode.NOT_IN_FORCE
    assert b"ahead" in refused.stdout
    assert newest > held


@trios.trio_test
async def test_contract_under_a_revision_given_twice_is_told_apart() -> None:
    """An operator is told "in force", and the hosts work by another contract.

    The platform goes back by exactly one change, and the next one gets the
    same revision. All hosts keep one of the two; if it is the former one,
    the command line must say so. Cause: revisions compared by number alone.
    """
    async with cut_deployment.run_cut_deployment(
        control_plans.make_plan()
    ) as deployment:
        hosts = deployment.names()
        await deployment.platform.take_copy()
        # Of two at one revision hosts keep the greater text.
        held = await _apply(deployment, 19)
        await deployment.pages.wait_holds(hosts, _SERVICE, held)
        await deployment.platform.restore()
        again = await _apply(deployment, 12)
        refused = await deployment.ctl(
            "contract", "rollout", _SERVICE, check=False
        )
        newest = await _apply(deployment, 13)
        await deployment.pages.wait_holds(hosts, _SERVICE, newest)
        good = await deployment.ctl("contract", "rollout", _SERVICE)
    assert again == held
    assert refused.returncode == exits.ExitCode.NOT_IN_FORCE, refused
    assert b"other" in refused.stdout
    assert good.returncode == exits.ExitCode.OK


async def _wait_went_back(deployment: cut_deployment.CutDeployment) -> None:
    cause = "control_platform_failures_total{cause=went-back}"
    await deployment.pages.wait(
        deployment.names(),
        lambda status: status["counts"].get(cause, 0) > 0,
        "refusing the platform",
    )


async def _raise_revision(
    deployment: cut_deployment.CutDeployment, above: int
) -> None:
    """Writes to the platform until it has passed a revision."""
    settings = deployment.platform.settings()
    write = port.Write(f"{settings.prefix}other", b"x")
    async with platform_opening.open_store(settings) as client:
        revision: int | None = 0
        while revision is not None and revision <= above:
            revision = await client.write_if((), (write,))


@trios.trio_test
async def test_contract_that_was_deleted_and_made_again_is_in_force() -> None:
    """A service that was deleted and made again stays away on some hosts.

    A failure domain is cut off during the delete, and comes back before the
    contract is made again. It must not bring the deleted contract back, and
    takes in the new one as all others. Cause: a delete that leaves no trace.
    """
    async with cut_deployment.run_cut_deployment(
        control_plans.make_plan()
    ) as deployment:
        hosts = deployment.names()
        south = deployment.names("south")
        others = deployment.names("north", "middle")
        await deployment.pages.wait_sees(hosts, hosts)
        async with revision_watch.watch_revisions(deployment.pages, hosts):
            await deployment.cut_both_ways(south, others)
            await deployment.cut_platform("south")
            await deployment.ctl("contract", "delete", _SERVICE)
            deleted = await control_plans.find_revision(deployment)
            await deployment.pages.wait_holds(others, _SERVICE, deleted)
            await deployment.heal()
            await deployment.pages.wait_holds(hosts, _SERVICE, deleted)
            again = await _apply(deployment, 14)
            await deployment.pages.wait_holds(hosts, _SERVICE, again)
        assert again > deleted
        async with load_callers.run_callers(deployment, _SERVICE) as callers:
            await callers.wait_answered(30)
