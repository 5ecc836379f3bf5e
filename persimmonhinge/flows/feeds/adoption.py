"""Takes in feeds that other hosts hand over."""

from __future__ import annotations

from collections.abc import Callable
import functools

import trio

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.contracts import contract as contracts
from persimmonhinge.flows import port
from persimmonhinge.flows.feeds import caller_side
from persimmonhinge.flows.feeds import digests
from persimmonhinge.flows.feeds import event as events
from persimmonhinge.flows.feeds import feed as feeds
from persimmonhinge.flows.feeds import limits
from persimmonhinge.flows.feeds import outline
from persimmonhinge.flows.feeds import source as sources
from persimmonhinge.flows.feeds import surroundings
from persimmonhinge.peers.messages import feeds as messages


class Adoption:
    """The new home's part of a hand-over."""

    def __init__(
        self,
        around: surroundings.Surroundings,
        callers: caller_side.CallerSide,
        adopt: Callable[[feeds.Feed, port.Choice | None], None],
        forget: Callable[[feeds.Feed], None],
        report: Callable[[feeds.Feed], None],
        misplace: Callable[[feeds.Feed], None],
    ) -> None:
        self._around = around
        self._callers = callers
        self._adopt = adopt
        self._forget = forget
        self._report = report
        self._misplace = misplace

    async def take(
        self, sender: ids.HostId, message: messages.FeedAdopt
    ) -> feeds.Feed | None:
        """Takes in a feed, or what the former home says of one.

        Two hosts may hand over the same feed, or one may do so twice: the
        feed that is there is kept.

        Returns:
            The feed once an upstream serves it; None if it is not taken.
        """
        opened = message.feed
        flow = outline.read_flow(opened)
        feed = self._around.table.get(flow, opened.token)
        if feed is not None and self._is_outdated(feed, message):
            self._forget(feed)
            feed = None
        if feed is None:
            feed = self._make(sender, message)
        else:
            feed.sequence = max(feed.sequence, _find_highest(feed, opened))
        if feed is None or not await self._is_served(feed):
            return None
        if not message.prepares and feed.outbox is not None:
            self._go_live(feed, digests.join(opened.recent))
        return feed

    def _is_outdated(
        self, feed: feeds.Feed, message: messages.FeedAdopt
    ) -> bool:
        """Tells whether the sender knows more of a feed than this host.

        Guards against a former home that dies between its two messages: its
        keeper has all that the caller may not have been sent. Guards also
        against a home that was paused and looks for the keeper of a feed that
        others have served since, and against a keeper that offers what it has
        held since the former home opened the feed elsewhere.
        """
        opened = message.feed
        if feed.reply is not feeds.Reply.DONE:
            return False
        if _is_of_keeper(opened):
            return opened.confirmed > feed.confirmed
        return feed.source is None and feed.opened is None

    def _make(
        self, sender: ids.HostId, message: messages.FeedAdopt
    ) -> feeds.Feed | None:
        opened = message.feed
        call_class = self._classify(opened)
        most = self._around.settings.flows.most_flows
        if call_class is None or len(self._around.table) >= most:
            return None
        now = trio.current_time()
        interval_s = self._around.settings.flows.feed_confirm_s
        feed = feeds.Feed(
            outline.read_flow(opened),
            opened.token,
            opened.request,
            call_class,
            opened.last_sequence,
            now,
            confirmed=opened.confirmed if _is_of_keeper(opened) else 0,
            floor=opened.floor,
            reported=opened.last_sequence,
            recent=digests.join(opened.recent),
            unsure=not message.prepares,
            opened=trio.Event(),
            confirm_at=now + self._around.random.uniform(0, interval_s),
        )
        if message.prepares:
            feed.prepared = True
            self._callers.hold(feed)
            self._expect_commit(feed, sender)
        self._adopt(feed, self._find_former(sender, opened))
        return feed

    def _find_former(
        self, sender: ids.HostId, opened: messages.FeedOpen
    ) -> port.Choice | None:
        """Returns where a keeper that hands a feed over has it open."""
        entry = self._around.contracts.get(opened.service)
        keeper = self._around.view.get(sender)
        if entry is None or keeper is None:
            return None
        upstream = entry.contract.get_upstream(opened.upstream)
        if upstream is None:
            return None
        return port.Choice(upstream, sender, keeper.ref)

    def _classify(
        self, opened: messages.FeedOpen
    ) -> contracts.CallClass | None:
        entry = self._around.contracts.get(opened.service)
        if entry is None:
            return None
        try:
            request = events.read_answer(opened.request, "")
        except errors.MalformedDatagramError:
            return None
        path = "/" + "/".join(request.opt.uri_path)
        return entry.contract.classify(
            contracts.Method.GET, path, observes=True
        )

    async def _is_served(self, feed: feeds.Feed) -> bool:
        """Waits until an upstream serves a feed.

        One that was made for the sender is dropped if none does.
        """
        if feed.opened is None and feed.source is None:
            return False
        if feed.opened is not None and feed.source is None:
            with trio.move_on_after(limits.ADOPT_S):
                await feed.opened.wait()
        if feed.closed:
            return False
        if feed.opened is not None and not feed.opened.is_set():
            # The sender keeps the feed and asks again.
            self._forget(feed)
            return False
        feed.opened = None
        return True

    def _expect_commit(self, feed: feeds.Feed, former: ids.HostId) -> None:
        """Goes on without the former home if that says no more.

        Guards against a former home that dies between its two messages: no
        one else may know of the feed, and the caller would wait for good.
        """
        expire = functools.partial(self._expire, feed, feed.outbox, former)
        self._around.timers.call_after(limits.PREPARED_S, expire)

    def _expire(
        self,
        feed: feeds.Feed,
        outbox: list[events.Event] | None,
        former: ids.HostId,
    ) -> None:
        if feed.closed or feed.outbox is not outbox:
            return
        self._around.counts.add("feeds_adopted_uncommitted_total")
        feed.prepared = False
        home = self._around.find_home(feed.flow)
        if home in (former, self._around.view.me):
            self._go_on(feed, outbox)
            return
        # Its keeper may have given it to the home of this moment.
        self._misplace(feed)
        go_on = functools.partial(self._go_on, feed, outbox)
        self._around.timers.call_after(limits.UNCOMMITTED_S, go_on)

    def _go_on(
        self, feed: feeds.Feed, outbox: list[events.Event] | None
    ) -> None:
        """Sends what was held back, unless another home has the feed."""
        if feed.closed or feed.outbox is not outbox:
            return
        self._callers.release(feed)
        self._report(feed)

    def _go_live(self, feed: feeds.Feed, sent: bytes) -> None:
        """Sends what the former home has not; `sent` are its digests."""
        feed.prepared = False
        outbox = feed.outbox or []
        rest = outbox[_count_known(outbox, sent) :]
        known = feed.recent
        feed.recent = sent
        for event in rest:
            feed.recent = digests.append(feed.recent, event.digest)
        if feed.source is not None:
            _relocate(feed.source, known, feed.recent)
        feed.outbox = rest
        self._callers.release(feed)
        self._report(feed)


def _is_of_keeper(opened: messages.FeedOpen) -> bool:
    """Tells whether a keeper hands a feed over, and not its former home."""
    return bool(opened.upstream)


def _find_highest(feed: feeds.Feed, opened: messages.FeedOpen) -> int:
    """Returns the highest number that another home may have sent.

    What a keeper gave before the feed was open elsewhere is below the numbers
    that it has had there.
    """
    if not _is_of_keeper(opened):
        return opened.last_sequence
    if 0 < opened.confirmed <= feed.confirmed:
        return 0
    return opened.floor


def _count_known(outbox: list[events.Event], sent: bytes) -> int:
    """Returns how many events up to the newest one that was sent."""
    for place in range(len(outbox), 0, -1):
        if digests.find(sent, outbox[place - 1].digest) >= 0:
            return place
    return 0


def _relocate(source: sources.Source, known: bytes, recent: bytes) -> None:
    """Finds where an upstream stands among other recent answers.

    Args:
        source: Its stream.
        known: The recent answers that it was compared with.
        recent: Those that it is to be compared with from now on.
    """
    if source.position == -1:
        return
    newest = digests.last(known)
    if source.position is not None:
        newest = digests.get(known, source.position)
    found = digests.find(recent, newest)
    source.position = None if found == digests.count(recent) - 1 else found
