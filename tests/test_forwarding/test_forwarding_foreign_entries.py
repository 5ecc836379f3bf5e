"""Tests of entries of other writers at the key of a running upstream."""

from __future__ import annotations

import msgspec

from persimmonhinge.forwarding import upstream as upstream_module
from tests.test_forwarding import entry_scene
from tests.test_forwarding import scene as scenes
from tests.test_forwarding import (
    test_forwarding_restarted_upstreams as restarts,
)

_READY = upstream_module.UpstreamState.READY
_DRAINING = upstream_module.UpstreamState.DRAINING
_OTHER_ADDRESS = "10.0.0.77:80"


def make_scene() -> restarts.EntryScene:
    """Returns a host whose desired state names two services."""
    scene = restarts.EntryScene()
    put_state(scene, 7)
    return scene


def put_state(scene: restarts.EntryScene, version: int, *services: str) -> None:
    """Applies a desired state with the usual services and further ones."""
    listed = [
        *entry_scene.STATE["Services"],
        *({"Name": name} for name in services),
    ]
    state = {**entry_scene.STATE, "Version": version, "Services": listed}
    scene.entries.apply(
        entry_scene.STATE_KEY, msgspec.json.encode(state), 1000 + version
    )
    scene.confirm_state()


def test_entry_of_a_service_that_is_not_named_ends_no_upstream() -> None:
    """Guards against resets of open flows after one foreign entry."""
    for born in (0, 1000):
        scene = make_scene()
        scene.put(born=born)
        opened_at = scene.open()
        scene.put(born=2 * born, Service="nobody", Addr=_OTHER_ADDRESS)
        scene.continue_flow(opened_at, data=10)
        assert scene.last_upstream().address == opened_at.address
        assert scene.count_resets() == 0
        assert scene.last_upstream().state is _DRAINING
        scene.put(born=born)
        assert scene.last_upstream().state is _READY
        assert scene.counts.get("unreadable_entries_total") == 1


def test_entry_takes_effect_once_a_state_names_its_service() -> None:
    """Guards against upstreams of a new service that get no flows."""
    scene = make_scene()
    scene.put(born=1000)
    scene.put(born=2000, Service="later")
    put_state(scene, 8)
    assert scene.find("1@1000").state is _DRAINING
    put_state(scene, 9, "later")
    assert scene.find("1@2000").service == "later"
    assert scene.find("1@2000").state is _READY


def test_deleted_entry_does_not_take_effect_later() -> None:
    scene = make_scene()
    scene.put(born=1000)
    scene.put(born=2000, Service="later")
    scene.delete()
    put_state(scene, 9, "later")
    assert not scene.knowledge.directory.list_ready(scenes.SERVICE)
    assert len(scene.knowledge.directory) == 1


def test_entry_of_no_named_service_does_not_keep_out_the_upstream() -> None:
    """Guards against hosts that started while a foreign entry was there."""
    scene = make_scene()
    scene.put(born=2000, Service="nobody", Addr=_OTHER_ADDRESS)
    scene.put(born=1000)
    assert scene.find("1@1000").state is _READY
    assert scene.open() == scene.find("1@1000")


def test_upstream_that_tells_its_start_again_is_used_again() -> None:
    """Guards against live upstreams that are refused after a foreign entry."""
    scene = make_scene()
    scene.put(born=1000)
    opened_at = scene.open()
    scene.put(born=2000, Addr=_OTHER_ADDRESS)
    scene.put(born=1000)
    assert scene.find("1@1000").state is _READY
    scene.continue_flow(opened_at, data=10)
    assert scene.last_upstream() == scene.find("1@1000")
    assert scene.count_resets() == 0
    assert scene.counts.get("unreadable_entries_total") == 0


def test_start_of_before_a_host_knew_the_upstream_stays_refused() -> None:
    scene = make_scene()
    scene.put(born=2000)
    scene.put(born=1000)
    assert scene.find("1@2000").state is _DRAINING
