"""The keeper: runs requests and feeds at the upstreams that a host keeps."""
