"""Fixtures and plugins that the tests share."""
