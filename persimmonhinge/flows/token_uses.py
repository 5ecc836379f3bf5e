"""Which request of a flow used a token last."""

from __future__ import annotations

import dataclasses

from persimmonhinge.flows import exchange as exchange_module
from persimmonhinge.flows import port

_Key = tuple[port.Flow, bytes]


@dataclasses.dataclass(slots=True)
class _Use:
    """What is known of one token of a flow.

    Attributes:
        newest: The newest request under it.
        former: Fingerprints of the requests before.
    """

    latest: exchange_module.Exchange
    former_fingerprints: set[bytes] = dataclasses.field(default_factory=set)


class TokenUses:
    """Finds answers that a caller must have, since it used their token again.

    Callers may use a token again once they have its answer (RFC 7252 section
    5.3.1). A copy of that answer that comes later can be taken for the answer
    to the next request.
    """

    def __init__(self) -> None:
        self._uses: dict[_Key, _Use] = {}

    def record_request(
        self, exchange: exchange_module.Exchange
    ) -> exchange_module.Exchange | None:
        """Takes in a new request.

        Returns:
            The request before under its token, if that has been answered and
            this one is not a late copy of one that came still earlier.
        """
        key = (exchange.flow, exchange.token)
        use = self._uses.get(key)
        if use is None:
            self._uses[key] = _Use(exchange)
            return None
        if exchange.fingerprint in use.former_fingerprints:
            return None
        before = use.latest
        use.latest = exchange
        if before.fingerprint == exchange.fingerprint:
            return None
        use.former_fingerprints.add(before.fingerprint)
        return before if before.reply is not None else None

    def remove_request(self, exchange: exchange_module.Exchange) -> None:
        """Forgets a request whose answer is no longer kept."""
        key = (exchange.flow, exchange.token)
        use = self._uses.get(key)
        if use is None:
            return
        use.former_fingerprints.discard(exchange.fingerprint)
        if use.latest is exchange:
            del self._uses[key]
