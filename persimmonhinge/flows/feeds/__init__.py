"""Feeds at the home: CoAP observe (RFC 7641) towards callers."""

from __future__ import annotations

from persimmonhinge.flows.feeds.service import Feeds as Feeds
