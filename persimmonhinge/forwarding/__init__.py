"""Forwards packets of flows that only their two ends can read."""
