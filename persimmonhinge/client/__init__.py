"""A caller's library: tickets, retransmission, feeds, uploads."""
