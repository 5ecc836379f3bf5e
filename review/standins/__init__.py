"""Stand-ins for the platform, targets and clients of the review's scripts."""
