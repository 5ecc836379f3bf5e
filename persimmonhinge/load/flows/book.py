"""All that the callers of a run saw."""

from __future__ import annotations

from persimmonhinge.forwarding import flow as flows
from persimmonhinge.load.flows import records


class FlowBook:
    """Requests, open flows and resets, as their callers saw them.

    Attributes:
        requests: All requests.
        opened: Sequence that the accepted upstream began with, by flow.
        resets: Resets that hosts wrote.
        crossed: Keys of answers that belong to another request.
        strange: Octets that are no answer.
    """

    def __init__(self) -> None:
        self.requests: list[records.RequestRecord] = []
        self.opened: dict[flows.FlowId, int] = {}
        self.resets: list[records.HostReset] = []
        self.crossed: list[str] = []
        self.strange: list[bytes] = []
