"""Tests of minting and verifying tickets."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies
import trio

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.flows import port
from persimmonhinge.flows import tickets
from persimmonhinge.keys import store
from persimmonhinge.membership import view as view_module
from tests.support import trios
from tests.test_flows import home_fakes

_KEEPERS = (ids.HostRef(77), ids.HostRef(88))

_flows = strategies.builds(
    port.Flow,
    strategies.sampled_from(["floor-trading", "grower-intake"]),
    strategies.tuples(
        strategies.sampled_from(["127.0.0.1", "127.0.0.11", "::1"]),
        strategies.integers(1, 65_535),
    ),
)


def _make_mint() -> tickets.TicketMint:
    keys = store.KeyStore()
    keys.offer(home_fakes.make_key_record())
    view = view_module.View(home_fakes.make_member(home_fakes.ME))
    return tickets.TicketMint(home_fakes.make_settings(), keys, view)


def _find_fault(
    mint: tickets.TicketMint, octets: bytes, flow: port.Flow
) -> tickets.TicketFault | None:
    try:
        mint.read(octets, flow)
    except tickets.RefusedTicketError as error:
        return error.fault
    return None


@home_fakes.PROPERTY
@hypothesis.given(flow=_flows)
@trios.clock_test
async def test_ticket_is_read_as_it_was_minted(flow: port.Flow) -> None:
    mint = _make_mint()
    octets = mint.mint(flow, _KEEPERS)
    ticket = mint.read(octets, flow)
    assert len(octets) <= 40
    assert ticket.keepers == _KEEPERS
    assert mint.is_own(ticket.home)
    assert tickets.peek_home(octets) == ticket.home
    assert tickets.peek_id(octets) == ticket.ticket_id
    assert mint.read_home(octets, flow) == ticket.home


@home_fakes.PROPERTY
@hypothesis.given(flow=_flows, bit=strategies.integers(0, 40 * 8 - 1))
@trios.clock_test
async def test_any_altered_bit_is_refused(flow: port.Flow, bit: int) -> None:
    mint = _make_mint()
    octets = bytearray(mint.mint(flow, _KEEPERS))
    octets[bit // 8] ^= 1 << (bit % 8)
    assert _find_fault(mint, bytes(octets), flow) is not None


@home_fakes.PROPERTY
@hypothesis.given(flow=_flows, other=_flows)
@trios.clock_test
async def test_ticket_of_another_flow_is_refused(
    flow: port.Flow, other: port.Flow
) -> None:
    """Guards against a ticket that is accepted from another flow.

    A caller sends the ticket that it got for one service to the address of
    another service, or an attacker sends a ticket captured on the network.
    """
    hypothesis.assume(flow != other)
    mint = _make_mint()
    fault = _find_fault(mint, mint.mint(flow, _KEEPERS), other)
    if flow.service != other.service:
        assert fault is tickets.TicketFault.OTHER_SERVICE
    else:
        assert fault is tickets.TicketFault.FORGED


@home_fakes.PROPERTY
@hypothesis.given(octets=strategies.binary(max_size=60))
@trios.clock_test
async def test_random_octets_are_refused(octets: bytes) -> None:
    assert _find_fault(_make_mint(), octets, home_fakes.FLOW) is not None


@trios.clock_test
async def test_keys_rotate_without_a_refusal_until_retired() -> None:
    keys = store.KeyStore()
    view = view_module.View(home_fakes.make_member(home_fakes.ME))
    mint = tickets.TicketMint(home_fakes.make_settings(), keys, view)
    flow = home_fakes.FLOW
    keys.offer(home_fakes.make_key_record(1, key_1="current", key_2="next"))
    old = mint.mint(flow, _KEEPERS)
    keys.offer(home_fakes.make_key_record(2, key_1="former", key_2="current"))
    new = mint.mint(flow, _KEEPERS)
    assert new[1] == 2
    assert _find_fault(mint, old, flow) is None
    keys.offer(home_fakes.make_key_record(3, key_2="current"))
    assert _find_fault(mint, old, flow) is tickets.TicketFault.UNKNOWN_KEY
    assert _find_fault(mint, new, flow) is None


@trios.clock_test
async def test_same_key_id_with_another_secret_is_refused() -> None:
    other = store.KeyStore()
    record = home_fakes.make_key_record(1, key_1="current")
    body = record.body.replace(b'"key_id": 1', b'"key_id": 2')
    other.offer(record.__class__(record.revision, body))
    view = view_module.View(home_fakes.make_member(home_fakes.ME))
    foreign = tickets.TicketMint(home_fakes.make_settings(), other, view)
    octets = bytearray(foreign.mint(home_fakes.FLOW, _KEEPERS))
    keys = store.KeyStore()
    keys.offer(home_fakes.make_key_record(1, key_2="current"))
    mint = tickets.TicketMint(home_fakes.make_settings(), keys, view)
    fault = _find_fault(mint, bytes(octets), home_fakes.FLOW)
    assert fault is tickets.TicketFault.FORGED


@trios.clock_test
async def test_without_a_key_nothing_is_minted() -> None:
    view = view_module.View(home_fakes.make_member(home_fakes.ME))
    mint = tickets.TicketMint(
        home_fakes.make_settings(), store.KeyStore(), view
    )
    try:
        mint.mint(home_fakes.FLOW, _KEEPERS)
    except errors.TicketError as error:
        assert error.step == "mint ticket"
    else:
        raise AssertionError("a ticket was minted without a key")


@trios.clock_test
async def test_ticket_starts_requests_during_its_life_only() -> None:
    mint = _make_mint()
    ticket = mint.read(mint.mint(home_fakes.FLOW, _KEEPERS), home_fakes.FLOW)
    await trio.sleep(119)
    assert mint.may_start_request(ticket)
    await trio.sleep(1.1)
    assert not mint.may_start_request(ticket)
    # Its rows are still retained for all retransmissions of a caller.
    assert ticket.expiry_ms - mint.uptime_ms() > 93_000


@trios.clock_test
async def test_revoked_tickets_start_no_requests_but_later_tickets_do() -> None:
    mint = _make_mint()
    flow = home_fakes.FLOW
    revoked = mint.read(mint.mint(flow, _KEEPERS), flow)
    mint.revoke_issued()
    fresh = mint.read(mint.mint(flow, _KEEPERS), flow)
    assert not mint.may_start_request(revoked)
    assert mint.may_start_request(fresh)


@trios.clock_test
async def test_new_incarnation_of_a_host_recognizes_its_old_tickets() -> None:
    keys = store.KeyStore()
    keys.offer(home_fakes.make_key_record())
    view = view_module.View(home_fakes.make_member(home_fakes.ME, 1))
    mint = tickets.TicketMint(home_fakes.make_settings(), keys, view)
    flow = home_fakes.FLOW
    old = mint.read(mint.mint(flow, _KEEPERS), flow)
    view.put(home_fakes.make_member(home_fakes.ME, 2))
    new = mint.read(mint.mint(flow, _KEEPERS), flow)
    assert mint.is_own(old.home) and not mint.is_current(old.home)
    assert mint.is_own(new.home) and mint.is_current(new.home)
