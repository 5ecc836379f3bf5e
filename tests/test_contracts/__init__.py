"""Tests of contracts and how they spread."""
