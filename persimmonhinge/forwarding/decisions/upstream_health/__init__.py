"""Decides which upstreams answer, and which are suspected."""
