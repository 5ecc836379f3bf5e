"""Callers of packet flows, and what they saw."""
