"""The home of flows: packet routing, tickets, requests and feeds."""
