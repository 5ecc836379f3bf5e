"""Only hosts with the credential of the deployment take part."""

from __future__ import annotations

import pathlib

import trio

from tests.standins import credentials
from tests.standins import cut_deployment
from tests.standins import host_pages
from tests.standins import load_callers
from tests.standins import plan as plans
from tests.support import trios
from tests.test_integration import control_plans

_SERVICE = control_plans.SERVICE
_STRANGER = plans.HostPlan("entry-7", "north", "127.1.0.7")
_TRIES_S = 3.0


@trios.trio_test
async def test_stranger_gets_nothing_and_is_counted() -> None:
    """A process of someone else joins, and reads contracts and ticket keys.

    It knows all addresses and speaks the protocol, but has certificates and
    a heartbeat secret of another deployment. It must get no link, no record
    and no place among the members, callers must not notice, and operators
    must see in the counts that it tried. Cause: peers taken in unasked.
    """
    async with cut_deployment.run_cut_deployment(
        control_plans.make_plan()
    ) as deployment:
        hosts = deployment.names()
        await deployment.pages.wait_sees(hosts, hosts)
        folder = deployment.folder / "stranger"
        folder.mkdir()
        theirs = credentials.Credentials(folder)
        deployment.layout.other_credentials[_STRANGER.name] = theirs
        await deployment.plan_host(_STRANGER)
        async with load_callers.run_callers(deployment, _SERVICE) as callers:
            await deployment.cut_platform(_STRANGER.domain)
            await deployment.start_unlisted(_STRANGER.name, wait=False)
            await deployment.hosts[_STRANGER.name].find_text("Started in")
            await trio.sleep(_TRIES_S)
            status = await deployment.pages.status(_STRANGER.name)
            await callers.wait_answered(30)
        refused = 0
        for host in hosts:
            alive = host_pages.find_alive(await deployment.pages.status(host))
            assert alive == set(hosts)
            refused += await deployment.pages.count(
                host, "heartbeat_datagrams_refused_total"
            )
    assert not status["ready"]
    assert not status["contracts"]
    assert status["key_revision"] == 0
    assert [m["host"] for m in status["members"]] == [_STRANGER.name]
    assert refused > 0
    assert not callers.causes(), callers.causes()


@trios.trio_test
async def test_host_with_a_foreign_certificate_gets_no_link() -> None:
    """A host was given a certificate of the wrong authority by mistake.

    Its heartbeats are good and it trusts the others, but its links are
    refused. It must get no record and no role, callers must not notice, and
    the counts must name the credential. Cause: heartbeats taken for proof
    that a host can be worked with.
    """
    async with cut_deployment.run_cut_deployment(
        control_plans.make_plan()
    ) as deployment:
        hosts = deployment.names()
        await deployment.pages.wait_sees(hosts, hosts)
        deployment.layout.other_credentials[_STRANGER.name] = _issue_wrong(
            deployment.folder
        )
        await deployment.plan_host(_STRANGER)
        async with load_callers.run_callers(deployment, _SERVICE) as callers:
            await callers.wait_answered(20)
            await deployment.cut_platform(_STRANGER.domain)
            await deployment.start_unlisted(_STRANGER.name, wait=False)
            await deployment.pages.wait(hosts, _knows_stranger, "told of it")
            await trio.sleep(_TRIES_S)
            await callers.wait_answered(50)
            status = await deployment.pages.status(_STRANGER.name)
        shown = [await deployment.pages.status(host) for host in hosts]
    assert not status["contracts"]
    assert status["key_revision"] == 0
    kind = "peer_refusals_total{cause=PeerCredentialError}"
    assert any(page["counts"].get(kind, 0) for page in shown), shown
    assert all(host_pages.find_alive(page) == set(hosts) for page in shown)
    assert not callers.causes(), callers.causes()


def _issue_wrong(folder: pathlib.Path) -> credentials.Credentials:
    """Returns a credential that is wrong in the host's certificate alone."""
    wrong = folder / "wrong"
    wrong.mkdir()
    issued = credentials.Credentials(wrong)
    for name in ("authority.pem", "heartbeat.secret"):
        (wrong / name).write_text((folder / name).read_text())
    return issued


def _knows_stranger(status: host_pages.Status) -> bool:
    return any(m["host"] == _STRANGER.name for m in status["members"])
