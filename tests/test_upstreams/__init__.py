"""Tests of the keeper of upstreams."""
