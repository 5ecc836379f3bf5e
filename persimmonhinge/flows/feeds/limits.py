"""Limits, delays and sizes of feeds."""

from __future__ import annotations

from persimmonhinge.peers.messages import feeds

# An answer that is ready within this time is piggybacked on the
# acknowledgement of its request (RFC 7252, 5.2.1).
MAX_PIGGYBACK_DELAY_S = 0.3

# Observe numbers have 24 bits (RFC 7641, 4.4).
SEQUENCE_MASK = 0xFFFFFF

# Rate at which the initial sequence number of new feeds grows with the wall
# clock, as RFC 7641, 4.4 proposes. Without it, a caller that registers again
# after its former home and keeper both died would treat the new notifications
# as outdated.
SEQUENCES_PER_S = 8 * feeds.SEQUENCE_STRIDE

# Sequence numbers that a new keeper skips, because the former keeper continues
# to assign numbers to events while the feed moves.
MOVE_SEQUENCE_MARGIN = 64 * feeds.SEQUENCE_STRIDE
# A home reports to the keeper which events the caller was sent, after this
# number of events or after this time.
EVENTS_PER_ACK = 8
ACK_INTERVAL_S = 1.0
# Limit of the acknowledgements that one host sends per interval for feeds with
# few events. Each takes about 150 octets; the limit keeps this part of the
# control traffic constant when the number of feeds grows.
MAX_ACKS_PER_INTERVAL = 100

# Max-Age of an answer without the option (RFC 7252, 5.10.5).
DEFAULT_MAX_AGE_S = 60
# Callers should not refresh an answer earlier than this after its Max-Age
# (RFC 7641, 3.3.1), so an earlier registration is not a refresh.
REFRESH_GRACE_S = 5.0

# Number of digests of answers that a home stores per feed.
MAX_RECENT_ANSWERS = 16

# Time limit for the first event of a newly opened stream.
FIRST_EVENT_TIMEOUT_S = 2.0
# Time limit for finding an upstream for a feed that another host hands over.
# It allows for two attempts and is shorter than the calling host's time limit.
ADOPT_TIMEOUT_S = 3.5
# Time limit for holding back the events of a new upstream that is ahead of the
# former one. It equals the time in which hosts detect that a host has died. A
# host that waits for CPU time can deliver its next event more than 0.5 s late.
# A limit of 0.5 s therefore lost events in planned moves: one event of one of
# 40 feeds at a load of three processes per processor.
MAX_SWITCH_WAIT_S = 2.0
# Time for holding back the events of a new upstream if no former upstream
# serves the feed. A new upstream that is behind becomes level within this time
# if the upstreams publish a state less than this time apart.
UNSERVED_SWITCH_WAIT_S = 0.1
MAX_HELD_EVENTS = 64

# A host that keeps running after other hosts declared it dead retries the
# keepers of its feeds for this time, to find out whether other homes have
# taken the feeds over, before it opens them at other upstreams.
MAX_DECLARED_DEAD_RETRY_S = 2.0
DECLARED_DEAD_RETRY_INTERVAL_S = 0.1

# Delay between two rounds of attempts over all upstreams. It doubles after
# each round, from the minimum to the maximum.
MIN_ROUND_DELAY_S = 0.1
MAX_ROUND_DELAY_S = 2.0
# Limit of concurrent moves of feeds that an upstream still serves.
MAX_CONCURRENT_MOVES = 64

# Shortest retry delay (Max-Age) sent to a caller whose feed is refused. The
# delay is drawn between this time and twice this time, so that the retries of
# many callers are spread.
MIN_REFUSED_RETRY_S = 2

# Homes move once the view of hosts has not changed for `SETTLE_S`. If it keeps
# changing, they move after `MAX_SETTLE_S`.
SETTLE_S = 1.0
MAX_SETTLE_S = 5.0
MAX_CONCURRENT_HANDOVERS = 128
HANDOVER_RETRY_S = 2.0
# Time limit of one call of a hand-over.
ADOPT_CALL_TIMEOUT_S = 4.0
# Time for which a new home waits for the second message of a hand-over. After
# it, the former home is assumed to have died between the two messages. The
# time is longer than a slow second message takes.
COMMIT_TIMEOUT_S = 5.0
# Time after `COMMIT_TIMEOUT_S` for which a new home tries to hand the feed over
# to the host that the placement names as home, before it sends the held answers
# itself. It is longer than hosts take to detect that a host has died.
UNCOMMITTED_RELEASE_DELAY_S = 2.4
# Fraction of the time limit of a planned stop after which the remaining feeds
# are ended.
LEAVE_FRACTION = 0.8

# Largest body in one datagram. Callers fetch the remainder of a larger body in
# blocks (RFC 7959).
BLOCK_OCTETS = 1024
BLOCK_SIZE_EXPONENT = 6
