"""Options that several commands have."""

from __future__ import annotations

from typing import Annotated

import typer

from persimmonhinge.ctl import printer as printers

Output = Annotated[
    printers.OutputFormat | None,
    typer.Option("--output", "-o", help="Tables for people or JSON."),
]
RequestId = Annotated[
    str | None,
    typer.Option(
        "--request-id",
        help="Id of an earlier command whose outcome is unknown: this one "
        "finds out, and does nothing twice.",
    ),
]
Reason = Annotated[
    str, typer.Option("--reason", help="Why, for the audit trail.")
]
Base = Annotated[
    int | None,
    typer.Option(
        "--base",
        min=0,
        help="Revision that the change was made from; 0 for a new contract.",
    ),
]
Wait = Annotated[
    float | None,
    typer.Option(
        "--wait",
        min=0,
        help="Seconds to wait until it is in force on all hosts that answer.",
    ),
]
Service = Annotated[str, typer.Argument(help="Name of the service.")]
Host = Annotated[str, typer.Argument(help="Name of the host.")]
Upstream = Annotated[str, typer.Argument(help="Id of the upstream.")]
