"""Decisions about the work that callers request and the room for it."""
