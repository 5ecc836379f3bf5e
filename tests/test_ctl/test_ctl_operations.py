"""Tests of hosts, upstreams, keys, audit and status."""

from __future__ import annotations

import base64

from tests.standins import platform_ctl
from tests.standins import platform_operators
from tests.support import trios


async def apply_floor(ctl: platform_ctl.Ctl) -> int:
    document = platform_operators.make_contract().model_dump(mode="json")
    path = ctl.write("floor.yaml", document)
    done = await ctl.run("contract", "apply", path)
    assert done.code == 0, done.errors
    return done.read()["revision"]


@trios.trio_test
async def test_upstream_is_drained_and_taken_back() -> None:
    async with platform_ctl.run_ctl() as ctl:
        await apply_floor(ctl)
        async with platform_ctl.run_hosts(ctl, "one") as (host,):
            host.status["upstreams"] = [
                {
                    "service": "floor",
                    "upstream": "floor-1",
                    "domain": "hall-1",
                    "keeper": "one",
                    "slots": 2,
                    "busy": 1,
                    "feeds": 5,
                }
            ]
            drained = await ctl.run("upstream", "drain", "floor", "floor-1")
            listed = (await ctl.run("upstream", "list")).read()
            again = await ctl.run("upstream", "drain", "floor", "floor-1")
            back = await ctl.run("upstream", "undrain", "floor", "floor-1")
            unknown = await ctl.run("upstream", "drain", "floor", "floor-9")
    assert drained.read()["differences"] == [
        "upstreams.floor-1.state: active -> draining"
    ]
    first, second = listed
    assert (first["state"], first["keeper"], first["feeds"]) == (
        "draining",
        "one",
        5,
    )
    assert (second["state"], second["keeper"]) == ("active", None)
    assert not again.read()["changed"]
    assert (back.code, unknown.code) == (0, 1)


@trios.trio_test
async def test_host_is_drained_and_taken_back() -> None:
    async with platform_ctl.run_ctl() as ctl:
        async with platform_ctl.run_hosts(ctl, "one", "two") as (one, two):
            two.status["members"] = [
                {
                    "host": "one",
                    "domain": "hall-1",
                    "state": "alive",
                    "incarnation": 1,
                }
            ]
            short = await ctl.run("host", "drain", "one", "--wait", "0")
            one.status["state"] = "leaving"
            shown = await ctl.run("host", "drain", "one", "--wait", "5")
            listed = (await ctl.run("host", "list")).read()
            await ctl.run("host", "undrain", "one")
            after = (await ctl.run("host", "list")).read()
    assert (short.code, shown.code) == (5, 0)
    assert listed[0]["drained"]
    assert listed[0]["state"] == "leaving"
    assert listed[0]["seen_alive_by"] == 1
    assert not after[0]["drained"]


@trios.trio_test
async def test_domain_is_evacuated_and_taken_back() -> None:
    async with platform_ctl.run_ctl() as ctl:
        await apply_floor(ctl)
        async with platform_ctl.run_hosts(ctl, "one", "two") as hosts:
            evacuate = ("domain", "evacuate", "hall-1")
            short = await ctl.run(*evacuate, "--wait", "0", "--reason", "power")
            for host in hosts:
                host.status["control"] = {"evacuated": ["hall-1"]}
            again = await ctl.run(*evacuate, "--wait", "5")
            listed = (await ctl.run("domain", "list")).read()
            hosts_listed = (await ctl.run("host", "list")).read()
            back = await ctl.run("domain", "restore", "hall-1")
            twice = await ctl.run("domain", "restore", "hall-1")
            trail = (await ctl.run("audit", "--last", "2")).read()
    assert (short.code, again.code, back.code, twice.code) == (5, 0, 0, 0)
    assert [again.read()["changed"], twice.read()["changed"]] == [False, False]
    (row,) = [row for row in listed if row["domain"] == "hall-1"]
    assert row["evacuated"]
    assert row["reason"] == "power"
    assert row["hosts_that_know"] == row["hosts_asked"] == 2
    assert not any(row["drained"] for row in hosts_listed)
    actions = {entry["action"] for entry in trail}
    assert actions == {"evacuate-domain", "restore-domain"}


@trios.trio_test
async def test_domain_that_nothing_names_is_not_evacuated() -> None:
    """Guards against a mistyped name that looks evacuated."""
    async with platform_ctl.run_ctl() as ctl:
        await apply_floor(ctl)
        refused = await ctl.run("domain", "evacuate", "hal-1")
        trail = (await ctl.run("audit")).read()
    assert refused.code == 1
    assert "hall-1" in refused.errors
    assert len(trail) == 1


@trios.trio_test
async def test_audit_is_filtered() -> None:
    async with platform_ctl.run_ctl() as ctl:
        await apply_floor(ctl)
        await ctl.run("--operator", "ben", "host", "drain", "one")
        reason = ("--reason", "new floor")
        await ctl.run("contract", "delete", "floor", *reason)
        all_entries = (await ctl.run("audit")).read()
        by_ben = (await ctl.run("audit", "--by", "ben")).read()
        floor = (await ctl.run("audit", "--target", "floor")).read()
        newest = (await ctl.run("audit", "--last", "1")).read()
        late = (await ctl.run("audit", "--since", "2999-01-01")).read()
        table = await ctl.run_plain("audit")
    assert [entry["sequence"] for entry in all_entries] == [1, 2, 3]
    assert [entry["action"] for entry in by_ben] == ["drain-host"]
    assert [e["action"] for e in floor] == ["apply-contract", "delete-contract"]
    assert newest[0]["reason"] == "new floor"
    assert newest[0]["before"]["service"] == "floor"
    assert late == []
    assert "delete-contract" in table.output


@trios.trio_test
async def test_keys_rotate_only_when_all_hosts_know_the_next() -> None:
    """Callers' tickets are refused by one host after a rotation.

    A new key mints at once; a host that has not heard of it can't check
    the tickets of the others. Cause: a key that mints before all hosts hold
    it, and one that is retired before its tickets expired.
    """
    async with platform_ctl.run_ctl() as ctl:
        ctl.configure(ticket_life_s=30.0)
        async with platform_ctl.run_hosts(ctl, "one", "two") as hosts:
            first = (await ctl.run("keys", "rotate")).read()
            for host in hosts:
                host.status["key_revision"] = first[-1]["revision"]
            early = await ctl.run("keys", "rotate", "--wait", "0")
            added = early.read()[-1]["revision"]
            hosts[0].status["key_revision"] = added
            half = await ctl.run("keys", "rotate", "--wait", "0")
            hosts[1].status["key_revision"] = added
            full = await ctl.run("keys", "rotate", "--wait", "0")
            for host in hosts:
                host.status["key_revision"] = full.read()[-1]["revision"]
                host.status["key_age_s"] = 29.0
            soon = await ctl.run("keys", "retire")
            for host in hosts:
                host.status["key_age_s"] = 31.0
            retired = await ctl.run("keys", "retire")
            listed = await ctl.run("keys", "list")
        trail = await ctl.run("audit")
        stored = await ctl.read_key("keys/tickets")
    assert (early.code, half.code, full.code) == (5, 5, 0)
    assert (soon.code, retired.code) == (1, 0), (soon, retired)
    assert "two" in half.errors
    assert listed.read()["keys"] == [{"id": 1, "state": "current"}]
    secret = stored["keys"][0]["secret"]
    assert len(base64.b64decode(secret)) == 32
    runs = (early, half, full, soon, retired, listed, trail)
    assert not any(secret in done.output + done.errors for done in runs)


@trios.trio_test
async def test_status_tells_what_is_wrong() -> None:
    async with platform_ctl.run_ctl() as ctl:
        revision = await apply_floor(ctl)
        empty = await ctl.run("status")
        async with platform_ctl.run_hosts(ctl, "one") as (host,):
            behind = await ctl.run("status")
            host.status["contracts"]["floor"] = revision
            good = await ctl.run("status")
            table = await ctl.run_plain("status")
            url = good.read()["hosts"][0]["url"]
            ctl.configure(hosts=[url])
            await ctl.platform.set_faults(down=True)
            down = await ctl.run("status")
    codes = (empty.code, behind.code, good.code, down.code)
    assert codes == (5, 5, 0, 4)
    assert down.read()["hosts"][0]["state"] == "alive"
    assert "hall-1" in table.output


@trios.trio_test
async def test_route_is_explained_and_disagreement_shown() -> None:
    async with platform_ctl.run_ctl() as ctl:
        async with platform_ctl.run_hosts(ctl, "one", "two") as (one, two):
            one.route = {
                "home": "one",
                "home_domain": "hall-1",
                "ranked": ["one", "two"],
                "upstreams": [
                    {"upstream": "floor-1", "keeper": "two", "why": "cold"}
                ],
            }
            two.route = {**one.route, "home": "two"}
            asked = ("--service", "floor", "--caller", "10.0.0.9:5000")
            shown = (await ctl.run("explain", *asked)).read()
            table = await ctl.run_plain("explain", *asked)
        none = await ctl.run("explain", *asked)
    assert shown["home"] == "one"
    assert shown["homes_by_host"] == {"one": "one", "two": "two"}
    assert "two names another home: two" in table.output
    assert "cold" in table.output
    assert none.code == 4


@trios.trio_test
async def test_host_that_is_not_yet_listed_holds_a_rotation_up() -> None:
    """A host that has just joined refuses the tickets of all others.

    It is not in the platform's list yet, which lags; the new key mints as
    soon as all listed hosts hold it. Cause: the list taken for the truth.
    """
    async with platform_ctl.run_ctl() as ctl:
        async with platform_ctl.run_hosts(ctl, "one") as (host,):
            first = (await ctl.run("keys", "rotate")).read()
            host.status["members"] = [
                {
                    "host": "new",
                    "domain": "hall-1",
                    "state": "alive",
                    "incarnation": 1,
                }
            ]
            host.status["key_revision"] = first[0]["revision"] + 1
            held = await ctl.run("keys", "rotate", "--wait", "0")
            gone = ("--without", "new")
            full = await ctl.run("keys", "rotate", "--wait", "0", *gone)
            listed = (await ctl.run("host", "list")).read()
    assert (held.code, full.code) == (5, 0), (held, full)
    assert "new" in held.errors
    assert "seen by one" in listed[1]["problem"]
