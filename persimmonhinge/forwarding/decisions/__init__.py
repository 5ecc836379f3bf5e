"""Decisions of a forwarding host, without input or output.

The modules choose upstreams for new flows, time out and retry opening packets,
track which upstreams are suspected, and set the rate of reports.
"""
