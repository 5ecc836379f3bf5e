"""Tests of the forwarding of packets."""
