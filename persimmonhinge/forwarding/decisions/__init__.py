"""Decisions of a forwarding host, without input or output.

They choose upstreams for new flows, time out and retry opening packets,
suspect upstreams and set the rate of reports.
"""
