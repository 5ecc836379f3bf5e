"""The program `persimmonhinge-ctl`: the operators' command line."""

from __future__ import annotations

from persimmonhinge.ctl import program


def main() -> None:
    """Runs the program."""
    program.program()


if __name__ == "__main__":
    main()
