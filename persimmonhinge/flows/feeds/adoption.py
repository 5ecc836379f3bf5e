"""Adoption of feeds that other hosts hand over to this host."""

from __future__ import annotations

from collections.abc import Callable
import functools
import logging

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

logger = logging.getLogger(__name__)


class Adoption:
    """Implements the hand-over of feeds on the side of the new home.

    A planned hand-over takes two messages. The first one prepares: the new
    home opens the feed and holds its answers back. The second one commits: it
    says what the former home has sent.
    """

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
        """Accepts a feed, or the commit of a feed that was prepared.

        Two hosts may hand over the same feed, or one host may do so twice. The
        feed that this host already has is kept unless it is outdated.

        Returns:
            The feed once an upstream serves it; None if it is not accepted.
        """
        opened = message.feed
        flow = open_messages.read_flow(opened)
        call_class = self._classify(opened)
        if call_class is None:
            return None
        feed = self._context.table.get(flow, opened.token)
        _log_offer(sender, message, feed)
        is_new = feed is None or self._is_outdated(feed, message)
        if feed is None or is_new:
            feed = self._make_feed(sender, message, call_class, feed)
        else:
            feed.sequence = max(
                feed.sequence, _find_highest_sequence(feed, opened)
            )
        if feed is None:
            return None
        if not await self._wait_until_served(feed):
            if is_new and not feed.closed:
                self._give_back(feed)
            return None
        if not message.prepares and feed.outbox is not None:
            self._commit(feed, digests.join(opened.recent))
        return feed

    def _is_outdated(
        self, feed: feed_module.Feed, message: feeds.FeedAdopt
    ) -> bool:
        """Returns whether the sender's state of a feed is newer than here.

        This covers four cases:

        - The caller registered again here, and no upstream serves the feed
          yet. A second feed beside the sender's would repeat its events.
        - A former home died between its two messages. Its keeper has all
          events that the caller may not have been sent.
        - This host was paused and searches for the keeper of a feed that
          other hosts have served since. If none has, it has sent all that
          the sender knows, and perhaps more.
        - An earlier keeper offers events that it has buffered since the
          former home opened the feed at another upstream. The offer of the
          later keeper is newer and wins, whichever arrives first.
        """
        opened = message.feed
        if feed.request != opened.request:
            # The caller uses the token for another resource now.
            return False
        is_unserved = feed.source is None and feed.served is None
        if is_unserved and not feed.recent_digests:
            return True
        if _is_from_keeper(opened):
            return opened.confirmed > feed.confirmed
        return is_unserved and opened.last_sequence > feed.sequence

    def _make_feed(
        self,
        sender: ids.HostId,
        message: feeds.FeedAdopt,
        call_class: contract.CallClass,
        former: feed_module.Feed | None,
    ) -> feed_module.Feed | None:
        """Makes the feed that a host hands over and starts to open it.

        Args:
            sender: The host that hands the feed over.
            message: What that host knows of the feed.
            call_class: Call class of the feed's request.
            former: Feed of the same flow and token here, which it replaces.
        """
        opened = message.feed
        if former is not None:
            self._remove_feed(former)
        max_feeds = self._context.settings.flows.most_flows
        if len(self._context.table) >= max_feeds:
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
            recent_digests=digests.join(opened.recent),
            is_newest_unconfirmed=not message.prepares,
            served=trio.Event(),
            confirm_at=now + self._context.random.uniform(0, interval_s),
        )
        if former is not None:
            self._callers.transfer_request(former, feed)
        if message.prepares:
            feed.prepared = True
            self._callers.hold_answers(feed)
            self._expect_commit(feed, sender)
        self._adopt(feed, self._find_former_choice(sender, opened))
        return feed

    def _find_former_choice(
        self, sender: ids.HostId, opened: feeds.FeedOpen
    ) -> port.Choice | None:
        """Returns the upstream of a feed that its keeper hands over.

        Returns:
            The upstream, with the sender as its keeper; None if the sender is
            not the keeper or is unknown.
        """
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

    async def _wait_until_served(self, feed: feed_module.Feed) -> bool:
        """Waits until an upstream serves a feed.

        Returns:
            False if none does in time, or if the feed was removed.
        """
        if feed.source is None:
            if feed.served is None:
                feed.served = trio.Event()
            served = feed.served
            with trio.move_on_after(limits.ADOPT_TIMEOUT_S):
                await served.wait()
            if not served.is_set():
                feed.served = None
                return False
        feed.served = None
        return not feed.closed

    def _give_back(self, feed: feed_module.Feed) -> None:
        """Removes a feed that was made for the sender, which keeps its own.

        A feed whose caller awaits a reply from this host stays, as if the
        caller had opened it here.
        """
        if feed.reply is feed_module.Reply.DONE:
            self._remove_feed(feed)
            return
        feed.prepared = False
        self._callers.release_answers(feed)

    def _expect_commit(
        self, feed: feed_module.Feed, former: ids.HostId
    ) -> None:
        """Schedules the release of the feed in case no commit arrives.

        If the former home dies between its two messages, no other host may
        know of the feed, and the caller would wait for events forever.
        """
        handle_missing = functools.partial(
            self._handle_missing_commit, feed, feed.outbox, former
        )
        self._context.timers.call_after(limits.COMMIT_TIMEOUT_S, handle_missing)

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
        # The keeper may have handed the feed over to its present home.
        self._check_home(feed)
        release = functools.partial(self._release_uncommitted, feed, outbox)
        self._context.timers.call_after(
            limits.UNCOMMITTED_RELEASE_DELAY_S, release
        )

    def _release_uncommitted(
        self, feed: feed_module.Feed, outbox: list[event_module.Event] | None
    ) -> None:
        """Sends the held answers, unless another home has the feed."""
        if feed.closed or feed.outbox is not outbox:
            return
        self._callers.release_answers(feed)
        self._report(feed)

    def _commit(self, feed: feed_module.Feed, sent: bytes) -> None:
        """Sends the held answers that the former home has not sent.

        Args:
            feed: Feed whose hand-over is committed.
            sent: Digests of the answers that the former home has sent.
        """
        feed.prepared = False
        outbox = feed.outbox or []
        unsent = outbox[_count_sent(outbox, sent) :]
        old_digests = feed.recent_digests
        feed.recent_digests = sent
        for event in unsent:
            feed.recent_digests = digests.append(
                feed.recent_digests, event.digest
            )
        if feed.source is not None:
            _update_replay_position(
                feed.source, old_digests, feed.recent_digests
            )
        if not unsent:
            self._callers.match_newest_answer(feed)
        feed.outbox = unsent
        self._callers.release_answers(feed)
        self._report(feed)


def _is_from_keeper(opened: feeds.FeedOpen) -> bool:
    """Returns whether the sender of a feed is a keeper, not a former home."""
    return bool(opened.upstream)


def _find_highest_sequence(
    feed: feed_module.Feed, opened: feeds.FeedOpen
) -> int:
    """Returns the highest sequence number that another home may have used.

    The numbers that a keeper assigned before the feed was opened at another
    upstream are below the numbers that the feed has used there, so the result
    is 0 for such a keeper.
    """
    if not _is_from_keeper(opened):
        return opened.last_sequence
    if 0 < opened.confirmed <= feed.confirmed:
        return 0
    return opened.floor


def _count_sent(outbox: list[event_module.Event], sent: bytes) -> int:
    """Returns the number of events up to and including the last sent one."""
    for place in range(len(outbox), 0, -1):
        if digests.find(sent, outbox[place - 1].digest) >= 0:
            return place
    return 0


def _update_replay_position(
    source: source_module.Source, old_digests: bytes, new_digests: bytes
) -> None:
    """Updates the replay position of a stream for new recent answers.

    Args:
        source: Stream of the upstream.
        old_digests: Recent answers that the replay position refers to.
        new_digests: Recent answers that it has to refer to.
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


def _log_offer(
    sender: ids.HostId,
    message: feeds.FeedAdopt,
    feed: feed_module.Feed | None,
) -> None:
    """Logs what the sender and this host know of a feed."""
    opened = message.feed
    here = "not open"
    if feed is not None:
        upstream = feed.source.upstream.id if feed.source else "none"
        here = (
            f"newest number sent {feed.sequence}, event {feed.confirmed}"
            f" confirmed, upstream {upstream}"
        )
    logger.info(
        "Feed %s offered by %s %s%s: newest number sent %d, event %d"
        " confirmed; here: %s.",
        feed_module.format_name(open_messages.read_flow(opened), opened.token),
        "keeper" if _is_from_keeper(opened) else "home",
        sender,
        ", which goes on serving it" if message.prepares else "",
        opened.last_sequence,
        opened.confirmed,
        here,
    )
