"""The keeper of an upstream: slots, queue and feeds."""
