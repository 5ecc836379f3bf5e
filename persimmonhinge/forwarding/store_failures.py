"""Records calls to the store that failed, whatever the cause."""

from __future__ import annotations

from persimmonhinge import errors
from persimmonhinge.forwarding import input_source
from persimmonhinge.light_typing import TYPE_CHECKING

if TYPE_CHECKING:
    from persimmonhinge.forwarding import entry_replica
    from persimmonhinge.forwarding import refusals as refusals_module

_SOURCE = input_source.InputSource.STORE_ANSWER
_STEP = "apply answer of store"


def record_failed_call(
    entries: entry_replica.EntryReplica,
    refusals: refusals_module.Refusals,
    error: Exception,
) -> None:
    """Records a call that failed, or whose answer could not be applied.

    Guards against a process that ends by one answer: also an error of another
    kind than the store's counts as a failed call.

    Args:
        entries: Counts failed calls, and keeps what is known meanwhile.
        refusals: Counts answers that are refused or fail unexpectedly.
        error: What the call, or the use of its answer, raised.
    """
    if isinstance(error, errors.RefusedInputError):
        refusals.record_refusal(_SOURCE, error.peer or error.step, error)
    if isinstance(error, errors.PlatformError):
        entries.record_failure(error)
        return
    refusals.record_failure(_SOURCE, _STEP, error)
    entries.record_failure(
        errors.PlatformError(f"{type(error).__name__}: {error}", step=_STEP)
    )
