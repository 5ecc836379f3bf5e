"""The keeper: sends requests and opens feeds to the upstreams of a host."""
