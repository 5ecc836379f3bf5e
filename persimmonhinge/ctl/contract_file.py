"""Contract files: YAML, with the revision that they were made from."""

from __future__ import annotations

import dataclasses
import pathlib
import re
import sys

import yaml

from persimmonhinge import config
from persimmonhinge import errors
from persimmonhinge.contracts import contract as contracts
from persimmonhinge.contracts import version as versions

_STANDARD_INPUT = "-"
_REVISION = re.compile(r"^# revision: (\d+)\s*$", re.MULTILINE)


@dataclasses.dataclass(frozen=True)
class ContractFile:
    """A contract as an operator edits it.

    Attributes:
        contract: The contract.
        revision: Revision named in its comment `# revision: N`, which
            `contract get` writes; None if there is none.
    """

    contract: contracts.Contract
    revision: int | None


def read(path: pathlib.Path) -> ContractFile:
    """Reads a file, or standard input for `-`.

    Raises:
        ContractError: It can't be read or holds a value that is not allowed.
    """
    name = str(path)
    try:
        if name == _STANDARD_INPUT:
            text = sys.stdin.read()
        else:
            text = path.read_text(encoding="utf-8")
        contract = config.parse(text, contracts.Contract, source=name)
    except (OSError, UnicodeDecodeError) as error:
        raise errors.ContractError(
            str(error), step="read contract", peer=name
        ) from error
    except errors.SettingsError as error:
        raise errors.ContractError(
            error.args[0], step="check contract", peer=name
        ) from error
    found = _REVISION.search(text)
    return ContractFile(contract, int(found.group(1)) if found else None)


def write(version: versions.ContractVersion) -> str:
    """Returns a contract as the text of a file."""
    document = versions.to_document(version.contract)
    body = yaml.safe_dump(document, sort_keys=False)
    return (
        f"# revision: {version.revision}\n"
        f"# written by {version.stored.operator} at "
        f"{version.stored.written_at}\n{body}"
    )
