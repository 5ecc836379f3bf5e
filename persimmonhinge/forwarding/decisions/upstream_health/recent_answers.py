"""Newest answers to callers, to recognise callers that were not served."""

from __future__ import annotations

import collections

from persimmonhinge import ids
from persimmonhinge import records
from persimmonhinge.forwarding import flow as flow_module

# A caller whose request failed opens another flow within this time of the
# answer, seconds.
_MAX_REOPENING_DELAY_S = 0.1
# Maximum number of callers that are remembered. At 31,000 flows a second on 610
# hosts, a host sees about ten answers in the time above.
_MAX_CALLERS = 1024


class _Answer(records.Record, frozen=True):
    """An answer to a caller.

    Attributes:
        upstream: The upstream that answered.
        answered_at: Time of the answer, seconds.
    """

    upstream: ids.UpstreamId
    answered_at: float


class RecentAnswers:
    """Finds the upstream whose answer made a caller open another flow."""

    def __init__(self) -> None:
        self._answers: collections.OrderedDict[
            tuple[int, int, int], _Answer
        ] = collections.OrderedDict()

    def record_answer(
        self, flow: flow_module.FlowId, upstream: ids.UpstreamId, now: float
    ) -> None:
        """Records that a request of a flow was answered."""
        caller = _make_key(flow)
        self._answers[caller] = _Answer(upstream, now)
        self._answers.move_to_end(caller)
        if len(self._answers) > _MAX_CALLERS:
            self._answers.popitem(last=False)

    def take_failed_upstream(
        self, flow: flow_module.FlowId, now: float
    ) -> ids.UpstreamId | None:
        """Returns the upstream that the caller of a new flow turned away from.

        Returns None if the caller was not answered just before. Each answer is
        returned once.
        """
        answer = self._answers.pop(_make_key(flow), None)
        if answer is None or now - answer.answered_at > _MAX_REOPENING_DELAY_S:
            return None
        return answer.upstream


def _make_key(flow: flow_module.FlowId) -> tuple[int, int, int]:
    return flow.caller, flow.service, flow.service_port
