"""Messages that describe a feed to a keeper or to a new home."""

from __future__ import annotations

import aiocoap
from aiocoap.numbers import optionnumbers

from persimmonhinge import ids
from persimmonhinge.coap import codec
from persimmonhinge.coap import options
from persimmonhinge.flows import port
from persimmonhinge.flows.feeds import digests
from persimmonhinge.flows.feeds import feed as feed_module
from persimmonhinge.flows.feeds import limits
from persimmonhinge.peers.messages import feeds

_Option = optionnumbers.OptionNumber
# Options that concern only the caller and its home. They are removed from
# requests to upstreams; the ticket in the Echo option in particular must not
# reach an upstream.
_CALLER_SIDE_OPTIONS = (
    _Option.OBSERVE,
    _Option.ECHO,
    _Option.BLOCK1,
    _Option.BLOCK2,
    _Option.REQUEST_TAG,
    options.DEADLINE,
)


def make_request(message: codec.Message) -> bytes:
    """Returns the encoded request that is sent to keepers for a caller.

    Two registrations for the same resource give the same octets.
    """
    # `Message.copy` is not used, because its deep copy is slow.
    request = codec.Message(code=message.code)
    request.mtype, request.mid, request.token = aiocoap.NON, 0, b""
    for option in message.opt.option_list():
        if option.number not in _CALLER_SIDE_OPTIONS:
            request.opt.add_option(option)
    return codec.encode(request)


def make_open_message(
    feed: feed_module.Feed,
    upstream: ids.UpstreamId,
    revision: ids.Revision,
    *,
    resumes: bool = False,
) -> feeds.FeedOpen:
    """Returns a message that describes the present state of a feed.

    The floor leaves a margin of sequence numbers for further events of the
    keeper that serves the feed now.
    """
    floor = max(feed.floor, feed.sequence)
    if feed.recent_digests:
        floor += limits.MOVE_SEQUENCE_MARGIN
    return feeds.FeedOpen(
        feed.flow.service,
        revision,
        upstream,
        feed.request,
        feed.flow.caller[0],
        feed.flow.caller[1],
        feed.token,
        feed.sequence,
        digests.split(feed.recent_digests),
        find_newest_accepted(feed),
        floor,
        resumes,
    )


def find_newest_accepted(feed: feed_module.Feed) -> int:
    """Returns the number of the newest event that need not be sent again."""
    if not feed.outbox:
        return feed.confirmed
    return max(feed.confirmed, feed.outbox[-1].sequence)


def read_flow(opened: feeds.FeedOpen) -> port.Flow:
    """Returns the flow of a feed that another host has described."""
    caller = (opened.caller_host, opened.caller_port)
    return port.Flow(opened.service, caller)
