"""Streams between the hosts of the system."""
