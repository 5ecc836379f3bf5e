"""State of one feed in the table of its home."""

from __future__ import annotations

import dataclasses
import enum

import trio

from persimmonhinge.contracts import contract
from persimmonhinge.flows import port
from persimmonhinge.flows.feeds import event
from persimmonhinge.flows.feeds import exchange as exchange_module
from persimmonhinge.flows.feeds import source as source_module


class Reply(enum.Enum):
    """State of the reply to the caller's newest request.

    OWED: The request has been neither acknowledged nor answered.
    SEPARATE: The request has been acknowledged by an empty message. Its
        answer follows in a separate message (RFC 7252, 5.2.2).
    DONE: The request has been answered.
    """

    OWED = "owed"
    SEPARATE = "separate"
    DONE = "done"


@dataclasses.dataclass(slots=True, eq=False)
class Feed:
    """A feed and the state of its delivery to the caller.

    Attributes:
        flow: Flow of the caller and the service.
        token: CoAP token of the caller's registration.
        request: Encoded request that is sent to keepers.
        call_class: Call class of the request in the contract.
        sequence: Observe number of the newest answer sent, not truncated to
            24 bits.
        unserved_since: Time since which no upstream has served the feed, by
            trio's clock.
        confirmed: Sequence number of the newest event that was sent to the
            caller or skipped as a duplicate.
        floor: Highest sequence number that a keeper has assigned to an event.
        reply: State of the reply to the newest request.
        request_id: Message id of the newest request.
        confirmable: True if the newest request was confirmable.
        recent_digests: Digests of the newest answers, as the module `digests`
            stores them.
        newest_answer: Newest answer as an encoded CoAP message with its whole
            body; empty before the first answer.
        answer_sequence: Observe number under which the newest answer was sent,
            not truncated.
        sent_at: Time at which the newest answer was sent, by trio's clock.
        reported: Highest of `sequence` and `confirmed` in the newest report
            to the keeper.
        source: Stream that serves the feed.
        candidate: Stream of the upstream that the feed is moving to.
        lost_source: Stream that served the feed when its link broke; None
            once another stream serves the feed.
        searching: True while a task looks for an upstream.
        outbox: Answers held back during a change of the home; None if answers
            are sent at once.
        prepared: True while this host waits for the former home to say which
            answers it has sent.
        is_newest_unconfirmed: True if the newest answer of `recent_digests`
            may not have reached the caller, for example because its former
            home died.
        served: Event that is set when an upstream first serves the feed; None
            if no task waits for it.
        confirm_at: Time from which the next notification is sent as a
            confirmable message, by trio's clock.
        message_id: Message id of the newest notification.
        exchange: Confirmable message that awaits the caller's acknowledgement.
        closed: True once the feed has been removed from the table.
    """

    flow: port.Flow
    token: bytes
    request: bytes
    call_class: contract.CallClass
    sequence: int
    unserved_since: float
    confirmed: int = 0
    floor: int = 0
    reply: Reply = Reply.DONE
    request_id: int = -1
    confirmable: bool = False
    recent_digests: bytes = b""
    newest_answer: bytes = b""
    answer_sequence: int = 0
    sent_at: float = 0.0
    reported: int = 0
    source: source_module.Source | None = None
    candidate: source_module.Source | None = None
    lost_source: source_module.Source | None = None
    searching: bool = False
    outbox: list[event.Event] | None = None
    prepared: bool = False
    is_newest_unconfirmed: bool = False
    served: trio.Event | None = None
    confirm_at: float = 0.0
    message_id: int = -1
    exchange: exchange_module.Exchange | None = None
    closed: bool = False

    @property
    def name(self) -> str:
        """Name of the feed in the log."""
        return format_name(self.flow, self.token)


def format_name(flow: port.Flow, token: bytes) -> str:
    """Returns the name of a feed in the log: service, caller and token."""
    return f"{flow.service}/{flow.caller[0]}:{flow.caller[1]}/{token.hex()}"
