"""One stream of a feed from the keeper of its upstream."""

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
    """A feed at one upstream; a feed has two while it moves.

    Attributes:
        feed: The feed.
        upstream: The upstream.
        keeper: Host that keeps it.
        keeper_ref: The incarnation of that host.
        scope: Ends the stream when it is cancelled.
        resumes: True if its keeper may hold the feed for this host.
        stream: The open stream.
        started: True once its first event has come.
        taken: True once the feed has used it.
        cause: Why its keeper wants the feed to move, if it does.
        end: How its keeper ended it, if it did.
        newest: Number of the newest event that was taken from it.
        given_up: True if its keeper has given up this host.
        position: While it repeats what the caller was sent by the former
            upstream: place of its newest event among the recent answers.
        held: Events that wait for the former upstream to come level.
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
