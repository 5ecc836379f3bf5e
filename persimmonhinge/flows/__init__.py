"""The home of flows: routing, tickets, requests and feeds."""
