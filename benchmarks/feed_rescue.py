"""Feeds whose home dies: ways to confirm events to their keepers, compared.

Run it with `python -m benchmarks.feed_rescue`. `deaths` plays homes that are
killed, stand still, lose power or come back, on a mock clock, and counts the
ticks that callers missed and saw twice. `cost` holds feeds in one keeper and
gives its memory for each feed and what confirmations take.

The ways: `numbers` is the product: an event has one number whichever home
sends it, and homes confirm in steps. With `each`, homes number notifications
themselves and confirm each event, so that the keeper's doubt is small; what is
left in doubt is sent again under new numbers.
"""

from __future__ import annotations

from collections.abc import Iterator
import contextlib
import enum
import json
import os
import random
import statistics
import tracemalloc
from typing import Annotated
from unittest import mock

import msgspec
import trio
import typer

from persimmonhinge import ids
from persimmonhinge.contracts import contract as contracts
from persimmonhinge.flows.feeds import adoption
from persimmonhinge.flows.feeds import digests
from persimmonhinge.flows.feeds import feed as feeds
from persimmonhinge.flows.feeds import limits
from persimmonhinge.metrics import counts as host_counts
from persimmonhinge.peers import frames
from persimmonhinge.peers.messages import feeds as messages
from persimmonhinge.upstreams import event_budget
from persimmonhinge.upstreams import unconfirmed_events
from tests.support import trios
from tests.test_flows import rescue_links
from tests.test_flows import rescue_world

_DETECTION_S = 2.0
_TICK_S = 0.2
# What a home sends takes so long to reach a keeper.
_LINK_S = 0.002
_BODY = b"x" * 100
_CALL = 70_000
_NUMBER = 12_000_000
_SIZES = (300, 10_000, 50_000)
_TICKS_HELD = 16
Wires = rescue_links.WireState
program = typer.Typer(add_completion=False)


class Way(enum.Enum):
    """How homes tell keepers what callers were sent."""

    NUMBERS = "numbers"
    EACH = "each"


@contextlib.contextmanager
def use_way(way: Way) -> Iterator[None]:
    """Has homes confirm in a way."""
    if way is Way.NUMBERS:
        yield
        return
    make = adoption.Adoption._make_feed

    def renumber(
        self: adoption.Adoption,
        sender: ids.HostId,
        offer: messages.FeedAdopt,
        call_class: contracts.CallClass,
        former: feeds.Feed | None,
    ) -> feeds.Feed | None:
        feed = make(self, sender, offer, call_class, former)
        if feed is not None:
            feed.sequence = offer.feed.floor + limits.MOVE_SEQUENCE_MARGIN
        return feed

    with (
        mock.patch.object(limits, "EVENTS_PER_ACK", 0),
        mock.patch.object(adoption.Adoption, "_make_feed", renumber),
    ):
        yield


async def _die(
    world: rescue_world.RescueWorld, still_s: float, *, killed: bool
) -> None:
    """Ends the home after it stood still for a while."""
    home = world.find_home().name
    for keeper in ("k1", "k2"):
        world.get_wire(home, keeper).state = Wires.SILENT
    await trio.sleep(_LINK_S)
    world.set_wires(home, Wires.SILENT)
    await trio.sleep(still_s)
    if killed:
        world.kill(home)
        await trio.sleep(_DETECTION_S)
    world.hosts[home].is_up = False
    world.declare_dead(home)


def play_death(
    seed: int, still_s: float, *, killed: bool
) -> tuple[int, int, float]:
    """Returns the ticks missed, those seen twice, and the longest wait."""
    found: list[tuple[int, int, float]] = []

    async def run() -> None:
        phase_s = random.Random(seed).uniform(0, _TICK_S)
        async with rescue_world.run_world(seed) as world:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(world.publish_for, 8.0)
                await trio.sleep(1.5 + phase_s)
                await _die(world, still_s, killed=killed)
            await trio.sleep(2.0)
            ticks = world.list_ticks()
            seen = world.caller.seen_at
            waits = [b - a for a, b in zip(seen, seen[1:], strict=False)]
            twice = len(ticks) - len(set(ticks))
            missed = max(ticks) + 1 - len(set(ticks))
            found.append((missed, twice, max(waits)))

    trios.run_in_order(seed, run)
    return found[0]


@program.command()
def deaths(
    seeds: Annotated[int, typer.Option(help="feeds of each row")] = 300,
) -> None:
    """Counts what callers miss and see twice."""
    rows = [(0.0, True), (0.3, True), (0.5, True), (2.5, True), (2.0, False)]
    for way in Way:
        for still_s, killed in rows:
            with use_way(way):
                played = [
                    play_death(seed, still_s, killed=killed)
                    for seed in range(seeds)
                ]
            row = {
                "way": way.value,
                "still_s": still_s,
                "then": "killed" if killed else "power lost",
                "feeds": seeds,
                "missed": sum(missed for missed, _, _ in played),
                "twice": sum(twice for _, twice, _ in played),
                "feeds_twice": sum(twice > 0 for _, twice, _ in played),
                "median_wait_s": round(
                    statistics.median(wait for _, _, wait in played), 2
                ),
            }
            print(json.dumps(row), flush=True)


def _count_octets() -> dict[str, float]:
    """Returns octets between home and keeper for one event."""
    writer = frames.FrameWriter()
    push = frames.FrameKind.PUSH
    event = writer.write(push, _CALL, messages.FeedEvent(_NUMBER, _BODY))
    recent = tuple(
        os.urandom(digests.DIGEST_OCTETS)
        for _ in range(limits.MAX_RECENT_ANSWERS)
    )
    ack = messages.FeedAck(_NUMBER, recent, _NUMBER)
    in_steps = len(writer.write(push, _CALL, ack))
    gathered = len(msgspec.msgpack.encode([[_CALL, _NUMBER]] * 100)) / 100
    return {
        "event": len(event),
        "numbers": in_steps / limits.EVENTS_PER_ACK,
        "each": gathered,
    }


@program.command()
def cost() -> None:
    """Gives octets of confirmations, and memory of a keeper."""
    print(json.dumps({"octets_an_event": _count_octets()}), flush=True)
    for size in _SIZES:
        for held in (0, limits.EVENTS_PER_ACK, _TICKS_HELD):
            print(json.dumps(_hold_events(size, held)), flush=True)


def _hold_events(size: int, held: int) -> dict[str, float]:
    """Returns what a keeper takes to hold events of so many feeds."""
    counts = host_counts.Counts()
    budget = event_budget.EventBudget(counts)
    event_budget.logger.disabled = True
    tracemalloc.start()
    stores = [unconfirmed_events.UnconfirmedEvents(budget) for _ in range(size)]
    for number in range(held):
        for store in stores:
            answer = _BODY + number.to_bytes(4, "big")
            store.add(messages.FeedEvent(_NUMBER + number, answer))
    octets, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {
        "feeds": size,
        "unconfirmed": held,
        "octets_a_feed": round(octets / size),
        "megabytes": round(octets / 1e6, 1),
        "dropped": counts.sum("feed_events_unconfirmed_dropped_total"),
    }


if __name__ == "__main__":
    program()
