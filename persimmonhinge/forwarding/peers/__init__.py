"""Reports, entry updates and snapshots between forwarding hosts."""
