"""Counters of a host and their HTTP page."""
