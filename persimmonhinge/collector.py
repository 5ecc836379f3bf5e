"""How often Python's garbage collector runs in a host."""

from __future__ import annotations

import gc

# More than by default: what requests leave is nearly all freed by reference
# counts, and each collection of the oldest objects walks all modules.
_OBJECTS_UNTIL_COLLECTION = 20_000
_COLLECTIONS_UNTIL_OLDER = 20


def pause() -> None:
    """Ends collections until `relax` is called."""
    gc.disable()


def relax() -> None:
    """Makes collections rarer; to be called once all modules are there.

    What was made until now lives as long as the process, so no collection
    looks at it any more.
    """
    gc.enable()
    gc.collect()
    gc.freeze()
    gc.set_threshold(
        _OBJECTS_UNTIL_COLLECTION,
        _COLLECTIONS_UNTIL_OLDER,
        _COLLECTIONS_UNTIL_OLDER,
    )
