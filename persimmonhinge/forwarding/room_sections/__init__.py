"""Sections of the page `/room`; each is a list of rows."""
