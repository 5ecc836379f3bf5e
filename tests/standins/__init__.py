"""Stand-ins for the systems around persimmonhinge."""
