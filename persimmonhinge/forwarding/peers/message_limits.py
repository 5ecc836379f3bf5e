"""Limits of the values in messages between hosts.

Hosts refuse values beyond these limits, and never send any.
"""

from __future__ import annotations

# Maximum revision of the store: the largest signed integer of 64 bits.
MAX_REVISION = 2**63 - 1
# Maximum time between two reports to the same host, milliseconds: about twice
# as long as the budget for reports requires with a full table of peers.
MAX_INTERVAL_MS = 600_000
# Maximum time since the store confirmed the entries, milliseconds: ten years.
MAX_AGE_MS = 10 * 365 * 86_400_000
# Age in a report of a host that the store never confirmed its entries to.
NO_AGE_MS = -1
# Maximum length of the name of a host or failure domain, as in the settings,
# characters.
MAX_NAME_CHARACTERS = 200
# Maximum length of a key of the store, characters; the store allows 200 octets.
MAX_KEY_CHARACTERS = 200
# Maximum length of a snapshot, octets: a value of the store takes up to a
# megabyte, and the entries of all upstreams take as much.
MAX_SNAPSHOT_OCTETS = 4_000_000
# Maximum length of the message in a compressed datagram, octets: an update has
# a value of the store at most and a few entries of upstreams.
MAX_DATAGRAM_MESSAGE_OCTETS = 1_100_000
# Maximum numbers of entries. Hosts send 8 in an update; a snapshot has 5,000
# upstreams at most and 1,000 deletions.
MAX_UPDATE_ENTRIES = 64
MAX_SNAPSHOT_ENTRIES = 50_000
# Maximum numbers of upstreams, services and other hosts that are used of one
# message. Hosts send 32 at most.
MAX_LOADS = 64
MAX_DEMANDS = 64
MAX_PEERS = 64
