"""Ticket keys: the ring, and what a host holds of it."""
