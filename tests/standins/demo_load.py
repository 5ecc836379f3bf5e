"""The load of the demo."""

from __future__ import annotations

import pathlib

import yaml

from persimmonhinge.client import settings as client_settings
from persimmonhinge.contracts import contract as contracts
from persimmonhinge.settings import load as load_settings
from tests.standins import layout as layouts
from tests.standins import plan as plans

_FEEDS = 60
_LOT_RATE = 40.0
_LOT_CALLERS = 60
_MANIFEST_RATE = 6.0
_MANIFEST_CALLERS = 12
_MANIFEST_OCTETS = 6000


def make_load(
    layout: layouts.Layout, duration_s: float, seed: int
) -> load_settings.LoadSettings:
    """Returns the load: feeds and lots at the first service, then uploads."""
    large, small = layout.plan.services
    feeds = load_settings.FeedLoad(path="/board", count=_FEEDS)
    lots = load_settings.RequestLoad(
        kind="lots",
        path="/lots/{number}",
        rate=_LOT_RATE,
        callers=_LOT_CALLERS,
    )
    manifests = load_settings.RequestLoad(
        kind="manifests",
        path="/manifests/{number}",
        rate=_MANIFEST_RATE,
        callers=_MANIFEST_CALLERS,
        body_octets=_MANIFEST_OCTETS,
        deadline_s=10.0,
    )
    return load_settings.LoadSettings(
        seed=seed,
        duration_s=duration_s,
        client=client_settings.ClientSettings(ack_timeout_s=0.5),
        services=(
            _make_service(layout, large, (feeds,), (lots,)),
            _make_service(layout, small, (), (manifests,)),
        ),
    )


def _make_service(
    layout: layouts.Layout,
    service: plans.ServicePlan,
    feeds: tuple[load_settings.FeedLoad, ...],
    requests: tuple[load_settings.RequestLoad, ...],
) -> load_settings.ServiceLoad:
    host, port = layout.service_address(service.name)
    return load_settings.ServiceLoad(
        service=service.name,
        address=contracts.Address(host=host, port=port),
        upstreams=tuple(upstream.id for upstream in service.upstreams),
        feeds=feeds,
        requests=requests,
    )


def write_load(
    path: pathlib.Path, settings: load_settings.LoadSettings
) -> None:
    """Writes the settings file of the load program."""
    document = settings.model_dump(mode="json")
    path.write_text(yaml.safe_dump(document), encoding="utf-8")
