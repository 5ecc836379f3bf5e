"""The parts of a host, and how they are made."""

from __future__ import annotations

import dataclasses
import random
import time

from persimmonhinge import ids
from persimmonhinge.contracts import control as controls
from persimmonhinge.contracts import drains as drain_stores
from persimmonhinge.contracts import host_list as host_lists
from persimmonhinge.contracts import store as contract_stores
from persimmonhinge.flows import caller_sockets as fronts
from persimmonhinge.flows import chooser as choosers
from persimmonhinge.flows import home as homes
from persimmonhinge.flows import router as routers
from persimmonhinge.flows import tickets
from persimmonhinge.flows.feeds import service as feed_parts
from persimmonhinge.keys import store as key_stores
from persimmonhinge.membership import member as members
from persimmonhinge.membership import placement as placements
from persimmonhinge.membership import service as memberships
from persimmonhinge.membership import view as views
from persimmonhinge.metrics import counts as host_counts
from persimmonhinge.metrics import page
from persimmonhinge.peers import streams
from persimmonhinge.platform import opening as platform_opening
from persimmonhinge.settings import entry as settings_entry
from persimmonhinge.status import document
from persimmonhinge.status import page as status_pages
from persimmonhinge.upstreams import keeper as keepers


@dataclasses.dataclass(frozen=True, slots=True)
class Parts:
    """All parts of a host, in the order in which they are started."""

    counts: host_counts.Counts
    view: views.View
    placement: placements.Placement
    contracts: contract_stores.ContractStore
    keys: key_stores.KeyStore
    drains: drain_stores.DrainStore
    network: streams.StreamNetwork
    membership: memberships.Membership
    control: controls.Control
    chooser: choosers.UpstreamChooser
    keepers: keepers.Keeper
    feeds: feed_parts.Feeds
    home: homes.Home
    front: fronts.CallerSockets
    router: routers.Router
    pages: page.PageServer


@dataclasses.dataclass(frozen=True, slots=True)
class _Base:
    """What most other parts are made with."""

    counts: host_counts.Counts
    view: views.View
    placement: placements.Placement
    contracts: contract_stores.ContractStore
    keys: key_stores.KeyStore
    drains: drain_stores.DrainStore
    network: streams.StreamNetwork


def make_parts(settings: settings_entry.EntrySettings) -> Parts:
    """Makes the parts of a host, not yet started."""
    base = _make_base(settings)
    membership, control = _make_control(settings, base)
    chooser = choosers.UpstreamChooser(
        base.view,
        base.placement,
        base.contracts,
        base.network,
        random.Random(),
    )
    keeper_part = keepers.Keeper(
        settings,
        base.view,
        base.placement,
        base.contracts,
        base.network,
        base.counts,
    )
    membership.add_incarnation_hook(keeper_part.record_incarnation)
    front = fronts.CallerSockets(settings, base.contracts, base.counts)
    feeds = _make_feeds(settings, base, front, chooser)
    home = _make_home(settings, base, front, chooser, feeds)
    parts = Parts(
        base.counts,
        base.view,
        base.placement,
        base.contracts,
        base.keys,
        base.drains,
        base.network,
        membership,
        control,
        chooser,
        keeper_part,
        feeds,
        home,
        front,
        _make_router(settings, base, home),
        page.PageServer(settings.metrics.address, settings.metrics.port),
    )
    enter_pages(parts)
    return parts


def _make_base(settings: settings_entry.EntrySettings) -> _Base:
    counts = host_counts.Counts()
    view = views.View(make_self_member(settings))
    return _Base(
        counts,
        view,
        placements.Placement(view),
        contract_stores.ContractStore(),
        key_stores.KeyStore(),
        drain_stores.DrainStore(),
        streams.StreamNetwork(settings, view, counts),
    )


def _make_control(
    settings: settings_entry.EntrySettings, base: _Base
) -> tuple[memberships.Membership, controls.Control]:
    platform = platform_opening.open_store(settings.platform)
    host_list = host_lists.HostList(settings.platform.prefix)
    membership = memberships.Membership(
        settings, base.view, base.counts, host_list.hosts
    )
    control = controls.Control(
        settings,
        base.view,
        base.placement,
        base.contracts,
        base.keys,
        base.drains,
        base.network,
        platform,
        base.counts,
        host_list=host_list,
    )
    return membership, control


def _make_feeds(
    settings: settings_entry.EntrySettings,
    base: _Base,
    front: fronts.CallerSockets,
    chooser: choosers.UpstreamChooser,
) -> feed_parts.Feeds:
    return feed_parts.Feeds(
        settings,
        base.view,
        base.placement,
        base.contracts,
        base.network,
        front,
        chooser,
        base.counts,
    )


def _make_home(
    settings: settings_entry.EntrySettings,
    base: _Base,
    front: fronts.CallerSockets,
    chooser: choosers.UpstreamChooser,
    feeds: feed_parts.Feeds,
) -> homes.Home:
    return homes.Home(
        settings,
        base.view,
        base.placement,
        base.contracts,
        base.keys,
        base.network,
        front,
        chooser,
        feeds,
        base.counts,
    )


def _make_router(
    settings: settings_entry.EntrySettings, base: _Base, home: homes.Home
) -> routers.Router:
    mint = tickets.TicketMint(settings, base.keys, base.view)
    return routers.Router(
        base.view, base.placement, mint, base.network, home, base.counts
    )


def enter_pages(parts: Parts) -> None:
    """Enters the status pages of a host."""
    status = document.StatusDocument(
        parts.view,
        parts.placement,
        parts.contracts,
        parts.keys,
        parts.chooser,
        parts.counts,
        parts.control,
    )
    status_pages.StatusPages(
        parts.pages,
        status,
        parts.counts,
        lambda: parts.view.self_member.accepts_roles,
    )


def make_self_member(settings: settings_entry.EntrySettings) -> members.Member:
    """Returns this host as a member that takes no roles yet."""
    return members.Member(
        host=ids.HostId(settings.host),
        domain=ids.DomainId(settings.domain),
        address=settings.peers.address,
        peer_port=settings.peers.port,
        heartbeat_port=settings.peers.heartbeat_port,
        incarnation=ids.Incarnation(time.time_ns() // 1_000_000),
        state=members.MemberState.LEAVING,
    )
