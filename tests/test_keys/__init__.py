"""Tests of ticket keys."""
