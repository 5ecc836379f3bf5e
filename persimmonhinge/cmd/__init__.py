"""Programs: the entry daemon, the operators' command line, the load tool."""
