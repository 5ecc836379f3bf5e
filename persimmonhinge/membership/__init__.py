"""Membership of hosts and placement by rendezvous hash."""
