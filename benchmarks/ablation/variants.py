"""Variants of a host, each without one of its mechanisms."""

from __future__ import annotations

from collections.abc import Callable

from benchmarks.ablation import mechanism
from persimmonhinge import ids
from persimmonhinge import records
from persimmonhinge import registry
from persimmonhinge.forwarding.decisions.upstream_health import answer_timeout
from persimmonhinge.policies import choice
from persimmonhinge.policies import choice_least_loaded
from tests.test_forwarding import scene as scenes

# Changes a host that has just been made.
Variant = Callable[[scenes.Scene], None]

variants: registry.Registry[Variant] = registry.Registry("mechanism")


@variants.register("own-domain preference")
def ignore_domains(host: scenes.Scene) -> None:
    """Chooses among all upstreams alike."""
    chooser = choice_least_loaded.LeastLoadedChoice(host.randomness)
    mechanism.replace(host.chooser, "_policy", chooser)


@variants.register("reports between hosts")
def ignore_reports(host: scenes.Scene) -> None:
    """Sees the requests of its own flows alone."""
    mechanism.replace(host.loads, "add_reported", mechanism.do_nothing)


@variants.register("average in the score")
def ignore_average(host: scenes.Scene) -> None:
    """Sees what is in flight now alone."""

    def make(upstream: object, now: float) -> choice.Candidate:
        candidate: choice.Candidate = make_all(upstream, now)
        return records.replace(candidate, recent_load=candidate.load)

    make_all = mechanism.read(host.chooser, "_make_candidate")
    mechanism.replace(host.chooser, "_make_candidate", make)


@variants.register("room of cold ones")
def ignore_cold(host: scenes.Scene) -> None:
    """Takes upstreams that have just started for warm."""
    directory = host.knowledge.directory
    mechanism.replace(directory, "is_warming_up", mechanism.say_no)


@variants.register("learned limit")
def fix_limit(host: scenes.Scene) -> None:
    """Waits for the same time wherever its callers are."""
    limit = mechanism.read(host.openings, "_answer_timeout")
    mechanism.replace(limit, "add_answer_time", mechanism.do_nothing)
    assert limit.value_s == answer_timeout.MIN_ANSWER_TIMEOUT_S


@variants.register("tries elsewhere")
def try_once(host: scenes.Scene) -> None:
    """Leaves unanswered openings to their callers."""
    budget = mechanism.read(host.forwarder, "_budget")
    mechanism.replace(budget, "spend_retry", mechanism.say_no)


@variants.register("budget of tries")
def try_always(host: scenes.Scene) -> None:
    """Sends each unanswered opening elsewhere."""
    budget = mechanism.read(host.forwarder, "_budget")
    mechanism.replace(budget, "spend_retry", mechanism.say_yes)


@variants.register("own pauses")
def forget_misses(host: scenes.Scene) -> None:
    """Goes on choosing upstreams that left its openings unanswered."""
    until = mechanism.read(host.suspicions, "_paused_until")
    record = host.suspicions.record_miss

    def record_only(upstream: ids.UpstreamId, now: float) -> None:
        record(upstream, now)
        until[upstream] = 0.0

    mechanism.replace(host.suspicions, "record_miss", record_only)


@variants.register("others' doubts")
def ignore_doubts(host: scenes.Scene) -> None:
    """Sees its own unanswered openings alone."""
    mechanism.replace(
        host.suspicions, "add_reported_misses", mechanism.do_nothing
    )


@variants.register("quality of upstreams")
def ignore_quality(host: scenes.Scene) -> None:
    """Treats upstreams that are slow or fail requests like the others."""
    eligibility = mechanism.read(host.chooser, "_eligibility")
    mechanism.replace(eligibility, "_is_held_back", mechanism.say_no)
    mechanism.replace(eligibility, "find_probed_upstream", mechanism.do_nothing)


@variants.register("copies sent the same way")
def choose_for_copies(host: scenes.Scene) -> None:
    """Chooses anew for a copy of an opening that nobody has answered yet."""
    mechanism.replace(host.openings, "find_pending", mechanism.do_nothing)


@variants.register("resets without an upstream")
def drop_unservable(host: scenes.Scene) -> None:
    """Drops openings that no upstream can serve."""
    drop = mechanism.read(host.forwarder, "_drop_packet")

    def refuse(packet: object, now: float) -> None:
        drop(packet, "no-upstream")

    mechanism.replace(host.forwarder, "_reject_opening", refuse)


@variants.register("placement by work")
def ignore_work(host: scenes.Scene) -> None:
    """Chooses for all flows by numbers of requests."""
    mechanism.replace(host.chooser, "placement", None)
