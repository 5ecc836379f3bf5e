"""Divides news into datagrams."""

from __future__ import annotations

from collections.abc import Sequence

from persimmonhinge.forwarding import store_entry as entry_lines
from persimmonhinge.forwarding.peers import messages

# Entries in a datagram: an upstream takes about 250 octets.
_MOST_ENTRIES = 8


def leave_state_out(news: messages.News, state_key: str) -> messages.News:
    """Returns news without the desired state, complete for upstreams alone.

    Guards against an upstream that goes on getting new flows since its entry
    stands in one datagram with a desired state that is too long to be sent.
    """
    entries = tuple(line for line in news.entries if line.key != state_key)
    return messages.News(
        news.after,
        news.after,
        news.settled,
        entries,
        upstreams_upto=max(news.upto, news.upstreams_upto),
    )


def split_news(
    after: int, settled: bool, entries: Sequence[entry_lines.StoreEntry]
) -> list[messages.News]:
    """Returns news in which each names the one before by its revision.

    Args:
        after: Revision to which the sender was complete before.
        settled: See `messages.News`.
        entries: The entries in the order of their changes; none if the store
            said that there are none.
    """
    if not entries:
        return [messages.News(after, after, settled, ())]
    found = []
    for first in range(0, len(entries), _MOST_ENTRIES):
        chunk = entries[first : first + _MOST_ENTRIES]
        upto = chunk[-1].revision
        rest = entries[first + _MOST_ENTRIES :]
        if rest and rest[0].revision == upto:
            # Entries of one change stand in two datagrams: only the second
            # completes it.
            upto -= 1
        upto = max(upto, after)
        found.append(messages.News(after, upto, settled, tuple(chunk)))
        after = upto
    return found
