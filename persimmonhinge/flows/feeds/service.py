"""Interface of feeds for the home of a flow and for the application."""

from __future__ import annotations

import logging
import random
import time

import trio

from persimmonhinge import ids
from persimmonhinge.coap import codec
from persimmonhinge.contracts import contract
from persimmonhinge.contracts import store
from persimmonhinge.flows import port
from persimmonhinge.flows.feeds import caller_side
from persimmonhinge.flows.feeds import feed as feed_module
from persimmonhinge.flows.feeds import feed_context
from persimmonhinge.flows.feeds import handover
from persimmonhinge.flows.feeds import limits
from persimmonhinge.flows.feeds import open_messages
from persimmonhinge.flows.feeds import refusal
from persimmonhinge.flows.feeds import reports
from persimmonhinge.flows.feeds import upstream_side
from persimmonhinge.flows.feeds import watches
from persimmonhinge.membership import placement as placement_module
from persimmonhinge.membership import view as view_module
from persimmonhinge.metrics import counts as counts_module
from persimmonhinge.peers import network as network_module
from persimmonhinge.peers.messages import feeds
from persimmonhinge.settings import entry as entry_module

logger = logging.getLogger(__name__)


class Feeds:
    """Manages the feeds that this host is home of.

    The design is described in docs/design/flows.md.
    """

    def __init__(
        self,
        settings: entry_module.EntrySettings,
        view: view_module.View,
        placement: placement_module.Placement,
        contract_store: store.ContractStore,
        network: network_module.PeerNetwork,
        answers: port.CallerSender,
        chooser: port.Chooser,
        counts: counts_module.Counts,
        randomness: random.Random | None = None,
    ) -> None:
        self._context = feed_context.FeedContext(
            settings,
            view,
            placement,
            contract_store,
            network,
            answers,
            chooser,
            counts,
            randomness or random.Random(),
        )
        self._callers = caller_side.CallerSide(self._context, self._remove_feed)
        self._reports = reports.Reports()
        self._upstreams: upstream_side.UpstreamSide
        self._handover = handover.Handover(
            self._context,
            self._callers,
            self._adopt,
            self._remove_feed,
            self._end_feed,
            self._report,
        )
        counts.watch("feeds_open", self.count)

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves feeds until the task is cancelled."""
        async with trio.open_nursery() as nursery:
            self._upstreams = upstream_side.UpstreamSide(
                self._context,
                nursery,
                self._callers,
                self._reports,
                self._end_feed,
                self._remove_feed,
            )
            watch = watches.Watches(
                self._context, self._upstreams, self.close_service
            )
            nursery.start_soon(self._context.timers.run)
            nursery.start_soon(self._reports.run)
            nursery.start_soon(watch.watch_contracts)
            nursery.start_soon(watch.watch_keepers)
            nursery.start_soon(self._handover.run)
            self._context.network.handle(
                feeds.FeedAdopt, self._handover.handle_adopt
            )
            task_status.started()

    def open(
        self,
        flow: port.Flow,
        message: codec.Message,
        entry: store.ContractEntry,
        call_class: contract.CallClass,
    ) -> None:
        """Processes a caller's GET with Observe 0.

        A request with the token of an open feed refreshes the registration of
        that feed (RFC 7641, 3.3.1) and is answered with the newest state. If
        it is for another resource, it replaces that feed.
        """
        request = open_messages.make_request(message)
        feed = self._context.table.get(flow, message.token)
        if feed is not None and feed.request_id == message.mid:
            self._callers.repeat_reply(feed)
        elif feed is not None and feed.request == request:
            self._refresh(feed, message, call_class)
        else:
            self._open_new(feed, flow, message, request, call_class)

    def close(self, flow: port.Flow, message: codec.Message) -> bool:
        """Processes a caller's GET with Observe 1, which ends its feed.

        The home answers the request.

        Returns:
            False if the caller has no feed with this token.
        """
        feed = self._context.table.get(flow, message.token)
        if feed is None:
            return False
        self._context.counts.add("feeds_closed_total", cause="deregistered")
        self._remove_feed(feed)
        return True

    def acknowledge(self, flow: port.Flow, message_id: int) -> bool:
        """Processes an empty acknowledgement.

        Returns:
            False if no feed awaits an acknowledgement of this message id.
        """
        return self._callers.confirmations.acknowledge(flow, message_id)

    def reset(self, flow: port.Flow, message_id: int) -> bool:
        """Processes a reset, with which the caller rejects a feed.

        Returns:
            False if no feed has recently sent a message with this id.
        """
        feed = self._callers.confirmations.find_feed(flow, message_id)
        for candidate in self._context.table.get_flow_feeds(flow):
            if candidate.message_id == message_id:
                feed = candidate
        if feed is None:
            return False
        self._context.counts.add("feeds_closed_total", cause="reset")
        self._remove_feed(feed)
        return True

    def read_state(
        self, flow: port.Flow, message: codec.Message
    ) -> codec.Message | None:
        """Returns the newest answer of an open feed, with its whole body.

        A caller fetches the later blocks of a notification by a GET of the
        same resource (RFC 7959, 2.6).

        Returns:
            The answer; None if the flow has no feed of this resource or the
            feed has no answer yet.
        """
        request = open_messages.make_request(message)
        for feed in self._context.table.get_flow_feeds(flow):
            if feed.request == request and feed.newest_answer:
                return caller_side.read_current(feed)
        return None

    def close_service(self, service: ids.ServiceName) -> None:
        """Ends all feeds of a service whose contract was deleted."""
        for feed in self._context.table:
            if feed.flow.service == service:
                self._end_feed(feed, b"", 0)

    async def move(
        self, service: ids.ServiceName, upstream: ids.UpstreamId, count: int
    ) -> int:
        """Moves feeds from an upstream to rebalance the load.

        A feed stays at the upstream if no other upstream accepts it now.

        Returns:
            Number of feeds that start to move, at most `count`.
        """
        started = 0
        for feed in watches.find_feeds_at(
            iter(self._context.table), service, upstream
        ):
            if started >= count:
                break
            started += self._upstreams.move(feed, single_round=True)
        await trio.lowlevel.checkpoint()
        return started

    async def leave(self) -> None:
        """Hands all feeds over to their new homes before a planned stop.

        Feeds that no host accepts within the time limit are ended.
        """
        await self._handover.leave()

    def count(self) -> int:
        """Returns the number of feeds in the table."""
        return len(self._context.table)

    def _refresh(
        self,
        feed: feed_module.Feed,
        message: codec.Message,
        call_class: contract.CallClass,
    ) -> None:
        feed.call_class = call_class
        self._callers.record_request(feed, message)
        if feed.newest_answer and feed.outbox is None:
            self._callers.send_current(feed)
            # The next home may use no number that this reply has used.
            self._reports.report_later(feed)

    def _open_new(
        self,
        former: feed_module.Feed | None,
        flow: port.Flow,
        message: codec.Message,
        request: bytes,
        call_class: contract.CallClass,
    ) -> None:
        sequence = start_sequence()
        if former is not None:
            # The caller uses the token for another resource. The Observe
            # numbers continue, so that the caller accepts the next one.
            sequence = max(sequence, former.sequence)
            self._remove_feed(former)
        feed = feed_module.Feed(
            flow,
            message.token,
            request,
            call_class,
            sequence,
            trio.current_time(),
            floor=sequence,
            reported=sequence,
        )
        self._callers.record_request(feed, message)
        if self.count() >= self._context.settings.flows.most_flows:
            self._context.counts.add("feeds_refused_total", cause="table-full")
            self._send_final(feed, b"", 0)
            return
        self._context.table.add(feed)
        home = self._context.find_home(flow)
        is_home = home == self._context.view.me
        logger.log(
            logging.DEBUG if is_home else logging.INFO,
            "Feed %s opened by request %d, first number %d; its home is %s.",
            feed.name,
            message.mid,
            sequence,
            home,
        )
        self._context.counts.add("feeds_opened_total")
        self._upstreams.open(feed)
        self._handover.check_home(feed)

    def _adopt(
        self, feed: feed_module.Feed, preferred: port.Choice | None
    ) -> None:
        """Adds and opens a feed that another host hands over."""
        self._context.table.add(feed)
        self._context.counts.add("feeds_adopted_total")
        self._upstreams.open(feed, preferred)

    def _report(self, feed: feed_module.Feed) -> None:
        self._upstreams.report_soon(feed)

    def _remove_feed(self, feed: feed_module.Feed) -> None:
        """Closes a feed and sends nothing to its caller."""
        feed.closed = True
        logger.debug(
            "Feed %s removed; newest number sent %d.", feed.name, feed.sequence
        )
        self._context.table.remove(feed)
        self._callers.confirmations.end_exchange(feed)
        for source in (feed.source, feed.candidate):
            if source is not None:
                source.scope.cancel()

    def _end_feed(
        self, feed: feed_module.Feed, answer: bytes, retry_after_s: int
    ) -> None:
        """Closes a feed and sends its caller a final answer."""
        if feed.closed:
            return
        self._remove_feed(feed)
        self._context.counts.add("feeds_closed_total", cause="no-upstream")
        self._send_final(feed, answer, retry_after_s)

    def _send_final(
        self, feed: feed_module.Feed, answer: bytes, retry_after_s: int
    ) -> None:
        randomness = self._context.random
        message = refusal.make_answer(answer, retry_after_s, randomness)
        self._callers.send_final(feed, message)


def start_sequence() -> int:
    """Returns the initial Observe number of a new feed."""
    sequence = int(time.time() * limits.SEQUENCES_PER_S)
    return sequence & limits.SEQUENCE_MASK
