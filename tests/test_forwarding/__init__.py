"""Tests of packet forwarding."""
