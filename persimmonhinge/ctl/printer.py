"""Writes results for people or for programs."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import enum
import json
import sys
from typing import Any

from rich import console as consoles
from rich import markup
from rich import table as tables

from persimmonhinge import errors
from persimmonhinge.contracts import outcome

# Columns of a table that goes into a file or a pipe.
_FILE_COLUMNS = 200


class OutputFormat(enum.Enum):
    """How results are written."""

    TABLE = "table"
    JSON = "json"


class Printer:
    """Writes results to standard output and errors to standard error.

    Attributes:
        output: How results are written.
    """

    def __init__(self, output: OutputFormat) -> None:
        self.output = output
        width = None if sys.stdout.isatty() else _FILE_COLUMNS
        self._console = consoles.Console(width=width, highlight=False)

    @property
    def for_programs(self) -> bool:
        """True if results are JSON."""
        return self.output is OutputFormat.JSON

    def show_document(self, document: Any) -> None:
        """Writes one JSON value, if results are JSON."""
        if self.for_programs:
            print(json.dumps(document, indent=2, default=str))

    def show_text(self, text: str) -> None:
        """Writes lines for people, if results are for people."""
        if not self.for_programs:
            self._console.print(markup.escape(text), soft_wrap=True)

    def show_table(
        self, title: str, columns: Sequence[str], rows: Iterable[Sequence[Any]]
    ) -> None:
        """Writes a table, if results are for people."""
        if self.for_programs:
            return
        table = tables.Table(title=title, title_justify="left")
        for column in columns:
            table.add_column(column, overflow="fold")
        for row in rows:
            table.add_row(*(markup.escape(_show(cell)) for cell in row))
        self._console.print(table)

    def show_list(
        self,
        title: str,
        columns: Sequence[str],
        rows: Sequence[Mapping[str, Any]],
    ) -> None:
        """Writes rows as a JSON list, or some of their columns as a table."""
        self.show_document(rows)
        cells = [[row[column] for column in columns] for row in rows]
        self.show_table(title, columns, cells)

    def show_note(self, text: str) -> None:
        """Writes a line to standard error."""
        print(text, file=sys.stderr, flush=True)

    def show_error(self, error: errors.PersimmonhingeError) -> None:
        """Writes an error to standard error."""
        if not self.for_programs:
            self.show_note(f"error: {error}")
            return
        document = {
            "error": type(error).__name__,
            "message": str(error),
            "step": error.step,
            "peer": error.peer,
        }
        if isinstance(error, outcome.OutcomeUnknownError):
            document["request_id"] = error.request_id
        self.show_note(json.dumps(document))


def _show(cell: Any) -> str:
    if cell is None:
        return "-"
    if isinstance(cell, bool):
        return "yes" if cell else "no"
    return str(cell)
