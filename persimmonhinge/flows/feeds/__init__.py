"""Feeds at their home: CoAP observations (RFC 7641) by callers."""

from __future__ import annotations

from persimmonhinge.flows.feeds.service import Feeds as Feeds
