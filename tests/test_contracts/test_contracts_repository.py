"""Tests of changes to contracts."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import itertools

import hypothesis
from hypothesis import strategies
import trio

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.contracts import audit
from persimmonhinge.contracts import contract as contracts
from persimmonhinge.contracts import outcome
from persimmonhinge.contracts import repository as repositories
from persimmonhinge.contracts import request as requests
from tests.standins import platform_memory
from tests.standins import platform_operators
from tests.standins.platform_operators import FLOOR
from tests.standins.platform_operators import make_contract
from tests.standins.platform_operators import make_request
from tests.support import trios

_NONE = platform_memory.CallFault.NONE
_LOST = platform_memory.CallFault.LOST
WRITE_FAULTS = strategies.lists(
    strategies.sampled_from(platform_memory.CallFault), min_size=1, max_size=12
)
READ_FAULTS = strategies.lists(
    strategies.sampled_from([_NONE] * 9 + [_LOST]), max_size=40
)


async def raises(kind: type[errors.PersimmonhingeError], call: object) -> str:
    try:
        await call  # type: ignore[misc]
    except kind as error:
        return str(error)
    raise AssertionError(f"{kind.__name__} was not raised")


@trios.clock_test
async def test_contract_is_created_changed_deleted_and_created_again() -> None:
    async with platform_operators.run_operators() as operators:
        store = operators.contracts
        made = await store.apply(make_contract(), make_request())
        changed = await store.apply(
            make_contract(slots=3), make_request("ben"), made.revision
        )
        read = await store.get(FLOOR)
        deleted = await store.delete(FLOOR, make_request())
        listed = await store.list()
        again = await store.apply(make_contract(), make_request())
    assert read.revision == changed.revision
    assert read.stored.operator == "ben"
    assert read.contract.upstreams[0].slots == 3
    assert listed == []
    revisions = [r.revision for r in (made, changed, deleted, again)]
    assert revisions == sorted(set(revisions))


@trios.clock_test
async def test_applying_what_stands_there_changes_nothing() -> None:
    async with platform_operators.run_operators() as operators:
        made = await operators.contracts.apply(make_contract(), make_request())
        again = await operators.contracts.apply(
            make_contract(), make_request("ben")
        )
    assert again.record is None
    assert again.revision == made.revision


@trios.clock_test
async def test_change_from_an_old_revision_is_told_what_changed() -> None:
    """Ben's change takes back what Anna did a minute ago, and no one sees it.

    Both read the contract; Anna drains an upstream for a repair; Ben applies
    his copy, in which it is active. Cause: a write that looks only at what
    stands there at that moment.
    """
    async with platform_operators.run_operators() as operators:
        store = operators.contracts
        made = await store.apply(make_contract(), make_request())
        await store.set_upstream_state(
            FLOOR,
            ids.UpstreamId("floor-1"),
            contracts.UpstreamState.DRAINING,
            make_request("anna", "anna-1"),
        )
        text = await raises(
            errors.ConflictError,
            store.apply(
                make_contract(slots=9), make_request("ben"), made.revision
            ),
        )
        bare = await raises(
            errors.ConflictError,
            store.apply(make_contract(slots=9), make_request("ben")),
        )
        await store.apply(
            make_contract(slots=9), make_request("ben"), replaces=True
        )
    assert "by anna" in text
    assert "request anna-1" in text
    assert "upstreams.floor-1.state: active -> draining" in text
    assert "--base" in bare


@trios.clock_test
async def test_address_of_another_live_contract_is_refused() -> None:
    """Reservations of one service reach an upstream of another.

    An address moves from the first contract to a second one in a single
    change; a host that has only the old first contract still sends its work
    there. Cause: two live contracts that own one address.
    """
    async with platform_operators.run_operators() as operators:
        store = operators.contracts
        first = await store.apply(make_contract(), make_request())
        taker = make_contract("intake", 5684)
        stolen = first.record.after["upstreams"][0]["address"]  # type: ignore
        document = taker.model_dump(mode="json")
        document["upstreams"][0]["address"] = stolen
        taker = contracts.Contract.model_validate(document)
        text = await raises(
            errors.ContractError, store.apply(taker, make_request())
        )
        same_port = make_contract("intake", 5683)
        await raises(errors.ContractError, store.check(same_port))
        await store.delete(FLOOR, make_request())
        await store.apply(taker, make_request())
    assert "belongs to service floor" in text


@trios.clock_test
async def test_two_contracts_that_claim_one_address_at_once() -> None:
    """Two services own one upstream though each change was checked.

    Two operators apply different contracts with one address in both at one
    moment; each finds it free. Cause: a condition on a contract's own key
    alone does not see the other contract.
    """
    async with platform_operators.run_operators() as operators:
        results: list[str] = []

        async def apply(service: str) -> None:
            contract = make_contract(service, 5683)
            try:
                await operators.contracts.apply(contract, make_request())
                results.append("won")
            except errors.ContractError:
                results.append("refused")

        async with trio.open_nursery() as nursery:
            nursery.start_soon(apply, "floor")
            nursery.start_soon(apply, "intake")
        listed = await operators.contracts.list()
    assert sorted(results) == ["refused", "won"]
    assert len(listed) == 1


@trios.clock_test
async def test_drain_keeps_changes_that_others_make_meanwhile() -> None:
    async with platform_operators.run_operators() as operators:
        store = operators.contracts
        await store.apply(make_contract(), make_request())

        async def drain(name: str) -> None:
            await store.set_upstream_state(
                FLOOR,
                ids.UpstreamId(name),
                contracts.UpstreamState.DRAINING,
                make_request(),
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(drain, "floor-1")
            nursery.start_soon(drain, "floor-2")
        read = await store.get(FLOOR)
    states = {upstream.state for upstream in read.contract.upstreams}
    assert states == {contracts.UpstreamState.DRAINING}


@trios.clock_test
async def test_unknown_policy_is_refused() -> None:
    document = make_contract().model_dump(mode="json")
    document["policies"]["order"] = "loudest"
    contract = contracts.Contract.model_validate(document)
    async with platform_operators.run_operators() as operators:
        text = await raises(
            errors.ContractError, operators.contracts.check(contract)
        )
    assert "no policy 'loudest'" in text


@trios.clock_test
async def test_request_id_of_another_change_is_refused() -> None:
    async with platform_operators.run_operators() as operators:
        store = operators.contracts
        await store.apply(make_contract(), make_request("anna", "one"))
        await raises(
            outcome.RequestIdReusedError,
            store.apply(make_contract(slots=5), make_request("anna", "one")),
        )
        await raises(
            outcome.RequestIdReusedError,
            store.apply(
                make_contract("intake", 5684), make_request("anna", "one")
            ),
        )


@trios.clock_test
async def test_repeat_while_the_first_command_still_runs() -> None:
    """An operator is told "no such contract" by a delete that took place.

    The first command hangs; the operator starts it again with its request
    id; the first one takes effect after the second one searched the audit
    trail and before it looked for the contract.
    """
    async with platform_operators.run_operators() as operators:
        made = await operators.contracts.apply(make_contract(), make_request())
        revisions = []

        async def delete(request: requests.ChangeRequest) -> None:
            done = await operators.contracts.delete(FLOOR, request)
            revisions.append(done.revision)

        first = requests.ChangeRequest("anna", ids.RequestId("one"))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(delete, first)
            nursery.start_soon(delete, make_request("anna", "one"))
    assert revisions == [made.revision + 1, made.revision + 1]


Faults = list[platform_memory.CallFault]
Change = Callable[
    [platform_operators.Operators, int, requests.ChangeRequest],
    Awaitable[repositories.ChangeResult],
]


async def _apply(
    operators: platform_operators.Operators,
    number: int,
    request: requests.ChangeRequest,
) -> repositories.ChangeResult:
    contract = make_contract(slots=number)
    return await operators.contracts.apply(contract, request, replaces=True)


async def _delete(
    operators: platform_operators.Operators,
    number: int,
    request: requests.ChangeRequest,
) -> repositories.ChangeResult:
    return await operators.contracts.delete(FLOOR, request)


async def _run(
    operators: platform_operators.Operators,
    change: Change,
    number: int,
    request: requests.ChangeRequest,
    results: dict[str, str],
) -> None:
    try:
        done = await change(operators, number, request)
        results[request.request_id] = f"done at {done.revision}"
    except (errors.ConflictError, errors.ContractError):
        results[request.request_id] = "refused"
    except outcome.OutcomeUnknownError:
        results[request.request_id] = "unknown"
    except errors.PlatformUnavailableError:
        results[request.request_id] = "not written"


async def _race(changes: list[Change], writes: Faults, reads: Faults) -> None:
    results: dict[str, str] = {}
    async with platform_operators.run_operators() as operators:
        await operators.contracts.apply(make_contract(), make_request())
        operators.platform.set_faults(writes, reads)
        async with trio.open_nursery() as nursery:
            for number, change in enumerate(changes, start=3):
                name = ids.RequestId(f"request-{number}")
                request = requests.ChangeRequest("anna", name)
                nursery.start_soon(
                    _run, operators, change, number, request, results
                )
        await trio.sleep(2 * platform_memory.LATE_S)
        operators.platform.set_faults([])
        for number, change in enumerate(changes, start=3):
            name = ids.RequestId(f"request-{number}")
            if results[name] == "unknown":
                repeat = make_request("anna", name)
                await _run(operators, change, number, repeat, results)
        audited = [r async for r in operators.trail.read_backwards()][:-1]
        events = operators.platform.store.events_from(0)
    key = f"{platform_operators.PREFIX}contracts/{FLOOR}"
    written = [e.revision for e in events if e.key.decode() == key][1:]
    told = {n: result for n, result in results.items() if "done" in result}
    assert told == {r.request_id: f"done at {r.revision}" for r in audited}, (
        results
    )
    assert [r.revision for r in reversed(audited)] == written
    assert "unknown" not in results.values()
    _check_chain(audited)


def _check_chain(audited: list[audit.AuditRecord]) -> None:
    for newer, older in itertools.pairwise(audited):
        assert newer.sequence == older.sequence + 1
        assert newer.before == older.after


@hypothesis.given(
    changes=strategies.lists(
        strategies.sampled_from([_apply, _delete]), min_size=1, max_size=4
    ),
    writes=WRITE_FAULTS,
    reads=READ_FAULTS,
)
@hypothesis.settings(max_examples=300)
def test_each_operator_is_told_what_really_happened(
    changes: list[Change], writes: Faults, reads: Faults
) -> None:
    """An operator is told "refused", yet the change is in force.

    Several operators change and delete one contract at once; calls get lost
    before or after they took effect, or take effect late. Cause: a
    lost answer that is read as "did not happen", or a write that is sent
    again under a new condition.
    """
    trios.clock_test(_race)(changes, writes, reads)
