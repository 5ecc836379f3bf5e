"""Tests of the soak itself, and a short run of it."""
