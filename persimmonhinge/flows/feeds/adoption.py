"""Takes in feeds that other hosts hand over."""

from __future__ import annotations

from collections.abc import Callable
import functools

import trio

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.contracts import contract
from persimmonhinge.flows import port
from persimmonhinge.flows.feeds import caller_side
from persimmonhinge.flows.feeds import digests
from persimmonhinge.flows.feeds import event as event_module
from persimmonhinge.flows.feeds import feed as feed_module
from persimmonhinge.flows.feeds import feed_context
from persimmonhinge.flows.feeds import limits
from persimmonhinge.flows.feeds import open_messages
from persimmonhinge.flows.feeds import source as source_module
from persimmonhinge.peers.messages import feeds


class Adoption:
    """The new home's part of a hand-over."""

    def __init__(
        self,
        context: feed_context.FeedContext,
        callers: caller_side.CallerSide,
        adopt: Callable[[feed_module.Feed, port.Choice | None], None],
        remove_feed: Callable[[feed_module.Feed], None],
        report: Callable[[feed_module.Feed], None],
        check_home: Callable[[feed_module.Feed], None],
    ) -> None:
        self._context = context
        self._callers = callers
        self._adopt = adopt
        self._remove_feed = remove_feed
        self._report = report
        self._check_home = check_home

    async def accept_feed(
        self, sender: ids.HostId, message: feeds.FeedAdopt
    ) -> feed_module.Feed | None:
        """Takes in a feed, or what the former home says of one.

        Two hosts may hand over the same feed, or one may do so twice: the
        feed that is there is kept.

        Returns:
            The feed once an upstream serves it; None if it is not taken.
        """
        opened = message.feed
        flow = open_messages.read_flow(opened)
        feed = self._context.table.get(flow, opened.token)
        if feed is not None and self._is_outdated(feed, message):
            self._remove_feed(feed)
            feed = None
        if feed is None:
            feed = self._make_feed(sender, message)
        else:
            feed.sequence = max(
                feed.sequence, _find_highest_sequence(feed, opened)
            )
        if feed is None or not await self._is_served(feed):
            return None
        if not message.prepares and feed.outbox is not None:
            self._commit(feed, digests.join(opened.recent))
        return feed

    def _is_outdated(
        self, feed: feed_module.Feed, message: feeds.FeedAdopt
    ) -> bool:
        """Tells whether the sender knows more of a feed than this host.

        Guards against a former home that dies between its two messages: its
        keeper has all that the caller may not have been sent. Guards also
        against a home that was paused and looks for the keeper of a feed that
        others have served since, and against a keeper that offers what it has
        held since the former home opened the feed elsewhere.
        """
        opened = message.feed
        if feed.reply is not feed_module.Reply.DONE:
            return False
        if _is_from_keeper(opened):
            return opened.confirmed > feed.confirmed
        return feed.source is None and feed.served is None

    def _make_feed(
        self, sender: ids.HostId, message: feeds.FeedAdopt
    ) -> feed_module.Feed | None:
        opened = message.feed
        call_class = self._classify(opened)
        most = self._context.settings.flows.most_flows
        if call_class is None or len(self._context.table) >= most:
            return None
        now = trio.current_time()
        interval_s = self._context.settings.flows.feed_confirm_s
        feed = feed_module.Feed(
            open_messages.read_flow(opened),
            opened.token,
            opened.request,
            call_class,
            opened.last_sequence,
            now,
            confirmed=opened.confirmed if _is_from_keeper(opened) else 0,
            floor=opened.floor,
            reported=opened.last_sequence,
            recent=digests.join(opened.recent),
            is_newest_unconfirmed=not message.prepares,
            served=trio.Event(),
            confirm_at=now + self._context.random.uniform(0, interval_s),
        )
        if message.prepares:
            feed.prepared = True
            self._callers.hold_answers(feed)
            self._expect_commit(feed, sender)
        self._adopt(feed, self._find_former_choice(sender, opened))
        return feed

    def _find_former_choice(
        self, sender: ids.HostId, opened: feeds.FeedOpen
    ) -> port.Choice | None:
        """Returns where a keeper that hands a feed over has it open."""
        entry = self._context.contracts.get(opened.service)
        keeper = self._context.view.get(sender)
        if entry is None or keeper is None:
            return None
        upstream = entry.contract.get_upstream(opened.upstream)
        if upstream is None:
            return None
        return port.Choice(upstream, sender, keeper.ref)

    def _classify(self, opened: feeds.FeedOpen) -> contract.CallClass | None:
        entry = self._context.contracts.get(opened.service)
        if entry is None:
            return None
        try:
            request = event_module.read_answer(opened.request, "")
        except errors.MalformedDatagramError:
            return None
        path = "/" + "/".join(request.opt.uri_path)
        return entry.contract.classify(contract.Method.GET, path, observes=True)

    async def _is_served(self, feed: feed_module.Feed) -> bool:
        """Waits until an upstream serves a feed.

        One that was made for the sender is dropped if none does.
        """
        if feed.served is None and feed.source is None:
            return False
        if feed.served is not None and feed.source is None:
            with trio.move_on_after(limits.ADOPT_TIMEOUT_S):
                await feed.served.wait()
        if feed.closed:
            return False
        if feed.served is not None and not feed.served.is_set():
            # The sender keeps the feed and asks again.
            self._remove_feed(feed)
            return False
        feed.served = None
        return True

    def _expect_commit(
        self, feed: feed_module.Feed, former: ids.HostId
    ) -> None:
        """Goes on without the former home if that says no more.

        Guards against a former home that dies between its two messages: no
        one else may know of the feed, and the caller would wait for good.
        """
        expire = functools.partial(
            self._handle_missing_commit, feed, feed.outbox, former
        )
        self._context.timers.call_after(limits.COMMIT_TIMEOUT_S, expire)

    def _handle_missing_commit(
        self,
        feed: feed_module.Feed,
        outbox: list[event_module.Event] | None,
        former: ids.HostId,
    ) -> None:
        if feed.closed or feed.outbox is not outbox:
            return
        self._context.counts.add("feeds_adopted_uncommitted_total")
        feed.prepared = False
        home = self._context.find_home(feed.flow)
        if home in (former, self._context.view.me):
            self._release_uncommitted(feed, outbox)
            return
        # Its keeper may have given it to the home of this moment.
        self._check_home(feed)
        go_on = functools.partial(self._release_uncommitted, feed, outbox)
        self._context.timers.call_after(
            limits.UNCOMMITTED_RELEASE_DELAY_S, go_on
        )

    def _release_uncommitted(
        self, feed: feed_module.Feed, outbox: list[event_module.Event] | None
    ) -> None:
        """Sends what was held back, unless another home has the feed."""
        if feed.closed or feed.outbox is not outbox:
            return
        self._callers.release_answers(feed)
        self._report(feed)

    def _commit(self, feed: feed_module.Feed, sent: bytes) -> None:
        """Sends what the former home has not; `sent` are its digests."""
        feed.prepared = False
        outbox = feed.outbox or []
        rest = outbox[_count_sent(outbox, sent) :]
        known = feed.recent
        feed.recent = sent
        for event in rest:
            feed.recent = digests.append(feed.recent, event.digest)
        if feed.source is not None:
            _update_replay_position(feed.source, known, feed.recent)
        feed.outbox = rest
        self._callers.release_answers(feed)
        self._report(feed)


def _is_from_keeper(opened: feeds.FeedOpen) -> bool:
    """Tells whether a keeper hands a feed over, and not its former home."""
    return bool(opened.upstream)


def _find_highest_sequence(
    feed: feed_module.Feed, opened: feeds.FeedOpen
) -> int:
    """Returns the highest number that another home may have sent.

    What a keeper gave before the feed was open elsewhere is below the numbers
    that it has had there.
    """
    if not _is_from_keeper(opened):
        return opened.last_sequence
    if 0 < opened.confirmed <= feed.confirmed:
        return 0
    return opened.floor


def _count_sent(outbox: list[event_module.Event], sent: bytes) -> int:
    """Returns how many events up to the newest one that was sent."""
    for place in range(len(outbox), 0, -1):
        if digests.find(sent, outbox[place - 1].digest) >= 0:
            return place
    return 0


def _update_replay_position(
    source: source_module.Source, old_digests: bytes, new_digests: bytes
) -> None:
    """Finds where an upstream stands among other recent answers.

    Args:
        source: Its stream.
        known: The recent answers that it was compared with.
        recent: Those that it is to be compared with from now on.
    """
    if source.replay_position == -1:
        return
    newest = digests.last(old_digests)
    if source.replay_position is not None:
        newest = digests.get(old_digests, source.replay_position)
    found = digests.find(new_digests, newest)
    source.replay_position = (
        None if found == digests.count(new_digests) - 1 else found
    )
