"""Tests of the ring that a host holds, and of what it tells of it."""

from __future__ import annotations

import io
import json
import logging
import traceback

import hypothesis
from hypothesis import strategies
import msgspec

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.contracts import drains as drain_stores
from persimmonhinge.contracts import records as record_sets
from persimmonhinge.contracts import report
from persimmonhinge.contracts import store as contract_stores
from persimmonhinge.keys import rotation
from persimmonhinge.keys import store as stores
from persimmonhinge.metrics import counts as host_counts
from persimmonhinge.peers.messages import control
from tests.test_keys import watcher_stub

_RING = rotation.make_ring()
_BODY = rotation.write_body(_RING)
_SECRET = _RING.keys[0].secret.get_secret_value()


@hypothesis.given(strategies.lists(strategies.integers(1, 9), min_size=1))
def test_any_offers_end_with_the_newest_ring(revisions: list[int]) -> None:
    """A ticket of a retired key is accepted again.

    A peer that was cut off offers the ring from before the key was retired.
    """
    bodies = {r: rotation.write_body(rotation.make_ring()) for r in revisions}
    store = stores.KeyStore()
    seen = []
    for revision in revisions:
        record = control.KeyRecord(ids.Revision(revision), bodies[revision])
        store.offer(record)
        seen.append(store.record.revision)
    assert seen == sorted(seen)
    assert rotation.write_body(store.ring) == bodies[max(revisions)]


def test_ring_without_a_usable_current_key_is_refused() -> None:
    key = json.loads(_BODY)["keys"][0]
    bad_rings: list[object] = [
        {"keys": []},
        {"keys": [{**key, "state": "former"}]},
        {"keys": [key, {**key, "key_id": 2}]},
        {"keys": [key, {**key, "state": "next"}]},
        {"keys": [{**key, "secret": "c2hvcnQ="}]},
        {"keys": [{**key, "secret": "?" * 44}]},
    ]
    store = stores.KeyStore()
    store.offer(control.KeyRecord(ids.Revision(1), _BODY))
    for ring in bad_rings:
        record = control.KeyRecord(ids.Revision(2), json.dumps(ring).encode())
        try:
            store.offer(record)
        except errors.KeyRingError:
            continue
        raise AssertionError(f"{ring!r} was taken in")
    assert store.ring == _RING


def test_secrets_are_in_no_error_log_repr_or_report() -> None:
    """A secret stands in a log, where anyone may read it.

    The ring can't be read by this version, and the error, the log, a
    traceback or the status quotes it.
    """
    output = io.StringIO()
    handler = logging.StreamHandler(output)
    # Not at the root: a program that another test ran in this process may
    # have ended the propagation to it.
    logger = logging.getLogger("persimmonhinge")
    logger.addHandler(handler)
    try:
        records = _make_records()
        for body in (_BODY, *_list_bad_bodies()):
            revision = ids.Revision(records.keys.record.revision + 1)
            record = control.KeyRecord(revision, body)
            output.write(f"{record!r} {control.Knowledge(keys=record)!r}")
            records.take_in(control.Knowledge(keys=record), "peer")
            output.write(_read_failing(body))
    finally:
        logger.removeHandler(handler)
    output.write(repr(records.keys.ring) + str(records.keys.ring))
    output.write(records.keys.ring.model_dump_json())
    status = report.make_report(records, watcher_stub.make_watcher(), True)
    output.write(msgspec.json.encode(status).decode())
    assert "Refused" in output.getvalue()
    assert '"0":"current"' in output.getvalue()
    assert _SECRET not in output.getvalue()
    assert _SECRET[4:20] not in output.getvalue()


def _list_bad_bodies() -> list[bytes]:
    """Returns rings with faults where an error that quotes shows secrets."""
    key = json.loads(_BODY)["keys"][0]
    faults: list[object] = [
        _SECRET,
        {"keys": _SECRET},
        {"keys": [_SECRET]},
        {"keys": [{**key, "secret": [_SECRET]}]},
        {"keys": [{**key, "secret": _SECRET[:40] + "!"}]},
        {"keys": [{"secret": _SECRET, **key, "state": "other"}]},
    ]
    bodies = [json.dumps(fault).encode() for fault in faults]
    return [*bodies, _SECRET.encode(), b"{" + _SECRET.encode()]


def _make_records() -> record_sets.Records:
    return record_sets.Records(
        contract_stores.ContractStore(),
        stores.KeyStore(),
        drain_stores.DrainStore(),
        host_counts.Counts(),
    )


def _read_failing(body: bytes) -> str:
    """Returns the traceback of reading a ring, empty if it can be read."""
    try:
        stores.read_ring(body)
    except errors.KeyRingError as error:
        return "".join(traceback.format_exception(error))
    return ""
