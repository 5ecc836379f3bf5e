"""A layer-4 load balancer that follows one contract for each service."""

from __future__ import annotations

__version__ = "0.1.0"
