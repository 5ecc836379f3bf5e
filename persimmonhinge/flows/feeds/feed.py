"""One feed of a caller: a row of the home's table."""

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
    """What the caller's request still waits for.

    OWED: Its answer.
    SEPARATE: Its answer, in a message of its own: the request itself has
        been acknowledged (RFC 7252, 5.2.2).
    DONE: Nothing.
    """

    OWED = "owed"
    SEPARATE = "separate"
    DONE = "done"


@dataclasses.dataclass(slots=True, eq=False)
class Feed:
    """A feed.

    Attributes:
        flow: The caller and the service.
        token: The caller's token.
        request: The request as keepers get it.
        call_class: Its class in the contract.
        sequence: Observe number of the newest answer sent; more than 24 bits.
        confirmed: Number of the newest event that was sent or passed over.
        floor: Highest number that a keeper gave an event.
        lost_at: Since when no upstream serves it, trio's time.
        reply: What the newest request still waits for.
        request_id: Message id of the newest request.
        confirmable: True if the newest request was confirmable.
        recent: Digests of the newest answers; see `digests`.
        current: The newest answer; empty before the first.
        sent_at: When that was sent, trio's time.
        reported: `sequence`, or `confirmed` if that is higher, as the keeper
            knows it.
        source: The upstream that serves it.
        candidate: The upstream that it moves to.
        lost: Where it was open when the link broke, until it is open again.
        searching: True while a task looks for an upstream.
        outbox: Answers held back while its home moves; None to send at once.
        prepared: True while its former home is to say what it has sent.
        unsure: True if the newest of `recent` may not have reached the
            caller, as after the death of its former home.
        opened: Set when it is first served, while someone waits for that.
        confirm_at: When the next notification is confirmable, trio's time.
        message_id: Message id of the newest notification.
        exchange: The confirmable message that waits for the caller.
        closed: True once it has left the table.
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
    recent: bytes = b""
    newest_answer: bytes = b""
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
