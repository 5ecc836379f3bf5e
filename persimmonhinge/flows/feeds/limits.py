"""Constants of feeds, each with its unit and its reason."""

from __future__ import annotations

from persimmonhinge.peers.messages import feeds

# An answer within this time travels in the acknowledgement of its request.
MAX_PIGGYBACK_DELAY_S = 0.3

# RFC 7641, 4.4: an observe number has 24 bits.
SEQUENCE_MASK = 0xFFFFFF

# A new feed starts at a number taken from the wall clock in this unit, as
# RFC 7641, 4.4 proposes: a caller that registers again after its former home
# and keeper both died would else take the new numbers for old ones.
SEQUENCES_PER_S = 8 * feeds.SEQUENCE_STRIDE

# Numbers that a keeper leaves to the former one of a feed, which goes on
# giving events while the feed moves.
MOVE_SEQUENCE_MARGIN = 64 * feeds.SEQUENCE_STRIDE
# A keeper learns what the caller was sent in steps of `ACK_EVENTS` or of
# `ACK_INTERVAL_S`.
EVENTS_PER_ACK = 8
ACK_INTERVAL_S = 1.0
# Ceiling of acknowledgements by time (about 150 octets each), so that this
# part of the control traffic stays flat as feeds grow.
MAX_ACKS_PER_INTERVAL = 100

# Digests of answers that a home remembers for each feed.
MAX_RECENT_ANSWERS = 16

# Longest time to wait for the first event of an upstream.
FIRST_EVENT_TIMEOUT_S = 2.0
# Longest time to look for upstreams before a feed is not adopted: enough for
# two attempts, and less than the other side waits.
ADOPT_TIMEOUT_S = 3.5
# Longest time to hold back a new upstream that is ahead of the old one: as long
# as hosts take to find that a host has died. A host that has to wait for its
# processor brings its next event later than 0.5 s; a wait of 0.5 s then left a
# gap in a planned move (one tick of one of 40 feeds at a load of three
# processes for each processor).
MAX_SWITCH_WAIT_S = 2.0
# The same where no old one serves: it shows that the new one is behind, if
# upstreams publish less than this apart.
UNSERVED_SWITCH_WAIT_S = 0.1
MAX_HELD_EVENTS = 64

# A host that goes on after it was given up asks the keepers of its feeds for so
# long whether other homes have them, before it opens them elsewhere.
MAX_DECLARED_DEAD_RETRY_S = 2.0
DECLARED_DEAD_RETRY_INTERVAL_S = 0.1

# Wait between two rounds over all upstreams: doubles from first to last.
MIN_ROUND_DELAY_S = 0.1
MAX_ROUND_DELAY_S = 2.0
# Moves at a time of feeds whose present upstream still serves them.
MAX_CONCURRENT_MOVES = 64

# A caller that is refused comes back after this time at least, and at most
# twice as long, so that callers spread.
MIN_REFUSED_RETRY_S = 2

# A changed view must have been quiet for so long before homes move, but a
# view that never comes to rest is followed after `SETTLE_LIMIT_S`.
SETTLE_S = 1.0
MAX_SETTLE_S = 5.0
MAX_CONCURRENT_HANDOVERS = 128
HANDOVER_RETRY_S = 2.0
# Limit of one message of a hand-over.
ADOPT_CALL_TIMEOUT_S = 4.0
# A successor that was prepared and hears no more goes on by itself: the
# former home died in between. Longer than a slow second message takes.
COMMIT_TIMEOUT_S = 5.0
# So long another home is asked to take it then: more than hosts take to find
# that one has died.
UNCOMMITTED_RELEASE_DELAY_S = 2.4
# Part of the limit of a planned stop after which callers are sent away.
LEAVE_FRACTION = 0.8

# Largest body in one datagram; the rest is fetched in blocks (RFC 7959).
BLOCK_OCTETS = 1024
BLOCK_SIZE_EXPONENT = 6
