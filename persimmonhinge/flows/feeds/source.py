"""State of one stream of a feed from the keeper of an upstream."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import trio

from persimmonhinge import ids
from persimmonhinge.contracts import contract
from persimmonhinge.flows.feeds import event
from persimmonhinge.peers import network
from persimmonhinge.peers.messages import feeds

if TYPE_CHECKING:
    from persimmonhinge.flows.feeds import feed as feed_module


@dataclasses.dataclass(slots=True, eq=False)
class Source:
    """A stream of a feed at one upstream; a moving feed has two of them.

    Attributes:
        feed: Feed that the stream belongs to.
        upstream: Upstream that publishes the events.
        keeper: Keeper of the upstream.
        keeper_ref: Host ref, including the incarnation, of the keeper.
        scope: Cancel scope of the task that reads the stream.
        resumes: True if the keeper may still hold the feed open for this host.
        stream: Open stream to the keeper, None if it is not open.
        started: True once the first event has arrived.
        used: True once the feed has switched to this stream.
        move_cause: Cause for which the keeper requested a move of the feed,
            if it did.
        end: Message with which the keeper ended the stream, if it did.
        newest_sequence: Sequence number of the newest event that the feed has
            processed from this stream.
        declared_dead: True if the keeper has declared this host dead.
        replay_position: Position of the newest event of this stream among the
            recent answers, while the stream repeats events that the caller
            received from the former upstream; -1 before its first event; None
            once it repeats no more events.
        held_events: Events held back until the former upstream has published
            the same state.
    """

    feed: feed_module.Feed
    upstream: contract.Upstream
    keeper: ids.HostId
    keeper_ref: ids.HostRef
    scope: trio.CancelScope
    resumes: bool = False
    stream: network.PeerStream | None = None
    started: bool = False
    used: bool = False
    move_cause: feeds.FeedEndCause | None = None
    end: feeds.FeedEnd | None = None
    newest_sequence: int = 0
    declared_dead: bool = False
    replay_position: int | None = None
    held_events: list[event.Event] | None = None
