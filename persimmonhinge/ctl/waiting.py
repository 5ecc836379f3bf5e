"""Waits until what was written shows on the hosts."""

from __future__ import annotations

from collections.abc import Callable

import trio

from persimmonhinge.ctl import exits
from persimmonhinge.ctl import goals
from persimmonhinge.ctl import host_client
from persimmonhinge.ctl import rollout as rollouts
from persimmonhinge.ctl import session as sessions

_POLL_S = 0.2

Reports = list[host_client.HostReport]


async def poll_hosts(
    session: sessions.Session,
    limit_s: float,
    is_done: Callable[[Reports], bool],
) -> Reports:
    """Asks all hosts again and again until something shows on them.

    Args:
        session: The command.
        limit_s: When to give up, seconds.
        is_done: Tells whether it shows.

    Returns:
        The last answers; it may not show in them.

    Raises:
        PlatformError: See `host_directory.find_hosts`.
    """
    end = trio.current_time() + limit_s
    while True:
        reports = await session.ask_hosts()
        if is_done(reports) or trio.current_time() + _POLL_S > end:
            return reports
        await trio.sleep(_POLL_S)


async def wait_in_force(
    session: sessions.Session, goal: rollouts.Goal, limit_s: float
) -> rollouts.Rollout:
    """Waits until a revision is in force on all hosts that answer.

    Raises:
        PlatformError: See `host_directory.find_hosts`.
    """
    reports = await poll_hosts(
        session,
        limit_s,
        lambda answers: rollouts.compute(goal, answers).is_complete,
    )
    goal = await goals.add_newest(session, goal)
    return rollouts.compute(goal, reports)


def find_exit_code(rollout: rollouts.Rollout) -> exits.ExitCode:
    """Returns the exit code of a wait."""
    if rollout.is_complete:
        return exits.ExitCode.OK
    return exits.ExitCode.NOT_IN_FORCE


def show_rollout(session: sessions.Session, rollout: rollouts.Rollout) -> None:
    """Writes a table of hosts and what they hold."""
    session.printer.show_table(
        f"{rollout.service} at {rollout.describe()}",
        ("host", "domain", "holds", "state", "problem"),
        [
            (h.host, h.domain, h.revision, h.state.value, h.problem)
            for h in rollout.hosts
        ],
    )
    other = rollout.count(rollouts.HoldState.OTHER)
    if other:
        session.printer.show_note(
            f"warning: {other} hosts hold another contract of "
            f"{rollout.service} at this revision, which the platform gave "
            "twice; apply it again with any change"
        )
    ahead = rollout.count(rollouts.HoldState.AHEAD)
    if ahead:
        session.printer.show_note(
            f"warning: {ahead} hosts hold a newer revision of "
            f"{rollout.service} than the platform, which was restored from "
            "an older copy; they refuse what it has"
        )
