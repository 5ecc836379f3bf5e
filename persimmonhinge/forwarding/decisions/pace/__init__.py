"""Decides how fast a host imports, reports and retries."""
