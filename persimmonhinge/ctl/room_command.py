"""The command `room`."""

from __future__ import annotations

from typing import Annotated
import urllib.parse

import typer

from persimmonhinge.ctl import exits
from persimmonhinge.ctl import host_client
from persimmonhinge.ctl import host_room
from persimmonhinge.ctl import options
from persimmonhinge.ctl import printer as printers
from persimmonhinge.ctl import session as sessions

_DEFAULT_TIMEOUT_S = 2.0
_MAX_PORT = 65535
# Order of the tables. Sections that are not named here follow.
_FIRST_SECTIONS = ("services", "domains", "waiting", "routes", "decisions")


def show_room(
    context: typer.Context,
    address: Annotated[
        str,
        typer.Argument(
            help="Pages of a forwarding host, ADDRESS:PORT or "
            "http://ADDRESS:PORT."
        ),
    ],
    service: Annotated[
        str | None,
        typer.Option(
            "--service", help="Leave out rows of other services than this."
        ),
    ] = None,
    timeout_s: Annotated[
        float,
        typer.Option("--timeout", min=0.01, help="Seconds to wait for it."),
    ] = _DEFAULT_TIMEOUT_S,
    output: options.Output = None,
) -> None:
    """Shows demand, room, waiting flows and decisions of a forwarding host.

    It asks this host alone, and needs no settings file and no platform. It ends
    with 4 if the host gives no answer or has no such page.

    Example: persimmonhinge-ctl room 10.1.0.7:9100 --service floor
    """
    url = _make_url(address)

    async def work(printer: printers.Printer) -> exits.ExitCode:
        async with host_client.HostClient(timeout_s) as client:
            room = await client.read_room(url)
        sections = {
            name: _select_rows(rows, service)
            for name, rows in room.list_sections().items()
        }
        printer.show_document(
            {
                "host": room.host,
                "domain": room.domain,
                "enabled": room.enabled,
                **sections,
            }
        )
        _show_tables(printer, room, sections)
        return exits.ExitCode.OK

    sessions.run_without_platform(context, output, work)


def _make_url(address: str) -> str:
    """Returns the base URL of a host's pages.

    Raises:
        typer.BadParameter: The address is not one.
    """
    text = address if "://" in address else f"http://{address}"
    try:
        parts = urllib.parse.urlsplit(text)
        is_complete = bool(parts.hostname) and (parts.port or 0) > 0
    except ValueError:
        is_complete = False
    if not is_complete or parts.scheme not in ("http", "https"):
        raise typer.BadParameter(
            f"{address!r} is not ADDRESS:PORT with a port from 1 to {_MAX_PORT}"
        )
    return f"{parts.scheme}://{parts.netloc}"


def _select_rows(
    rows: list[host_room.Row], service: str | None
) -> list[host_room.Row]:
    if service is None:
        return rows
    return [row for row in rows if row.get("service", service) == service]


def _show_tables(
    printer: printers.Printer,
    room: host_room.HostRoom,
    sections: dict[str, list[host_room.Row]],
) -> None:
    where = f"host {room.host}, failure domain {room.domain}"
    if not room.enabled:
        printer.show_text(f"Overload control is off: {where}.")
        return
    printer.show_text(f"Overload control is on: {where}.")
    others = sorted(sections.keys() - set(_FIRST_SECTIONS))
    for name in (*_FIRST_SECTIONS, *others):
        rows = sections.get(name, [])
        if rows:
            columns = list(rows[0])
            title = name.replace("_", " ").capitalize()
            cells = [[row.get(c) for c in columns] for row in rows]
            printer.show_table(title, columns, cells)
