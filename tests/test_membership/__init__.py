"""Tests of membership and placement."""
